package frame

// Transaction statuses of ReadyForQuery.
const (
	Idle          = 'I'
	InTransaction = 'T'
	Failed        = 'E'
)

// Tracker tracks the protocol state of a unit of work: the number of pending ReadyForQuery frames
// and whether a transaction is open.
type Tracker struct {
	outstanding int
	batch       bool
	status      byte
}

// Sent records a frame sent to the server.
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

// Ready records a ReadyForQuery and reports whether the unit of work has ended.
func (t *Tracker) Ready(status byte) bool {
	t.outstanding--
	t.status = status
	return t.outstanding <= 0 && !t.batch && status == Idle
}

// Outstanding returns the number of pending ReadyForQuery frames.
func (t *Tracker) Outstanding() int { return max(0, t.outstanding) }

// InTransaction reports whether the last ReadyForQuery left a transaction open.
func (t *Tracker) InTransaction() bool { return t.status == InTransaction || t.status == Failed }

// BatchOpen reports whether frames were sent that are not yet followed by a Sync.
func (t *Tracker) BatchOpen() bool { return t.batch }
