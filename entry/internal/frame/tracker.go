package frame

// The transaction statuses of ReadyForQuery.
const (
	Idle          = 'I'
	InTransaction = 'T'
	Failed        = 'E'
)

// Tracker follows a unit of work: which frames await a ReadyForQuery, and whether a
// transaction is open.
type Tracker struct {
	outstanding int
	batch       bool
	status      byte
}

// Sent takes note of a frame that goes to the server.
func (t *Tracker) Sent(f Frame) {
	switch f.Type {
	case Query, FunctionCall:
		t.outstanding++
	case Sync:
		t.outstanding++
		t.batch = false
	case Parse, Bind, Describe, Execute, Close, Flush:
		t.batch = true
	}
}

// Ready takes note of a ReadyForQuery and reports whether the unit of work is over.
func (t *Tracker) Ready(status byte) bool {
	t.outstanding--
	t.status = status
	return t.outstanding <= 0 && !t.batch && status == Idle
}

// Outstanding returns how many ReadyForQuery frames are awaited.
func (t *Tracker) Outstanding() int { return max(0, t.outstanding) }

// InTransaction reports whether the last ReadyForQuery left a transaction open.
func (t *Tracker) InTransaction() bool { return t.status == InTransaction || t.status == Failed }

// BatchOpen reports whether frames were sent that await a Sync.
func (t *Tracker) BatchOpen() bool { return t.batch }
