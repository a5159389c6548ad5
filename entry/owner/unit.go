package owner

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire"
)

const (
	// maxKeptBytes bounds what is kept of a unit before it has a connection, for sending again,
	// and of its answer before that may be let go.
	maxKeptBytes  = 256 << 10
	maxReadHeld   = 16 << 10
	floorSetting  = "trefoil.floor"
	idleInTxLimit = 5 * time.Minute
)

type fed int

const (
	fedOK fed = iota
	// fedOver means that the unit had ended; the frame begins another.
	fedOver
	// fedFailed means that the unit has failed; the frame is dropped.
	fedFailed
)

// unit is a unit of work: a transaction, or a batch of statements outside of one.
type unit struct {
	serving  *serving
	group    *group
	open     *wire.Open
	began    time.Time
	deadline time.Time
	done     chan struct{}
	refused  bool

	mu       sync.Mutex
	attached chan struct{}
	conn     *backend.Conn
	tracker  frame.Tracker
	rewriter rewriter
	kept     []frame.Frame
	keptSize int
	keep     bool
	over     bool
	failed   bool
	// sentAny and mayCommit say what the server may have been asked since it was last ready.
	sentAny bool
	// learned is a floor that the session does not know of yet; only the worker uses it.
	learned   *session.Position
	mayCommit bool
}

func newUnit(s *serving, g *group, open *wire.Open) *unit {
	deadline := time.Duration(open.GetDeadlineMilliseconds()) * time.Millisecond
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	now := time.Now()
	return &unit{
		serving: s, group: g, open: open, began: now, deadline: now.Add(deadline),
		done: make(chan struct{}), attached: make(chan struct{}),
		rewriter: rewriter{names: s.names}, keep: true,
	}
}

// feed takes a frame of the caller.
func (u *unit) feed(f frame.Frame) fed {
	u.mu.Lock()
	for u.conn == nil && u.keptSize > maxKeptBytes && !u.over && !u.failed {
		wait := u.attached
		u.mu.Unlock()
		select {
		case <-wait:
		case <-u.done:
		}
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	switch {
	case u.failed:
		return fedFailed
	case u.over:
		return fedOver
	}
	u.tracker.Sent(f)
	if u.keep {
		u.kept = append(u.kept, f)
		u.keptSize += f.Size()
	}
	if u.conn == nil {
		return fedOK
	}
	u.keep = u.keep && u.keptSize <= maxKeptBytes
	if u.forward(f) != nil {
		// The goroutine that reads the server's answers finds out and says what it means.
		u.conn.Close()
	}
	return fedOK
}

// forward sends a frame to the server; mu is held.
func (u *unit) forward(f frame.Frame) error {
	u.sentAny = true
	u.mayCommit = u.mayCommit || u.rewriter.mayCommit(f)
	rewritten, err := u.rewriter.rewrite(f, u.conn)
	if err != nil {
		return err
	}
	if err := u.conn.Write(rewritten); err != nil {
		return err
	}
	switch f.Type {
	case frame.Parse, frame.Bind, frame.Describe, frame.Execute, frame.Close:
		return nil
	}
	u.conn.SetDeadline(time.Now().Add(u.patience()))
	return u.conn.Flush()
}

// patience is how long the server may take to answer a request.
func (u *unit) patience() time.Duration { return u.deadline.Sub(u.began) }

// attach gives the unit a connection and sends what has been kept.
func (u *unit) attach(conn *backend.Conn) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failed {
		return errAbandoned
	}
	u.conn = conn
	u.rewriter.replies = nil
	conn.SetDeadline(time.Now().Add(u.patience()))
	for _, f := range u.kept {
		if err := u.forward(f); err != nil {
			return err
		}
	}
	close(u.attached)
	return conn.Flush()
}

// detach takes the connection away before the unit is tried elsewhere.
func (u *unit) detach() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = nil
	u.sentAny = false
	u.attached = make(chan struct{})
}

// repeatable reports whether everything that the caller has sent is kept.
func (u *unit) repeatable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keep && !u.failed
}

// run runs the unit on a worker of its group.
func (u *unit) run(ctx context.Context) {
	if u.open.GetAccess() == wire.Access_ACCESS_READ {
		u.runRead(ctx)
	} else {
		u.runWrite(ctx)
	}
	u.end()
}

func (u *unit) end() {
	u.mu.Lock()
	u.over = true
	u.mu.Unlock()
	select {
	case <-u.done:
	default:
		close(u.done)
	}
}

// refuse ends the unit with an outcome other than done; nothing follows on the stream.
func (u *unit) refuse(r *outcome.Refusal) {
	u.mu.Lock()
	already := u.failed
	u.failed = true
	u.refused = true
	u.mu.Unlock()
	if !already {
		u.count(r)
		u.serving.refuse(r)
	}
	u.end()
	_ = u.serving.stream.SetReadDeadline(time.Now())
}

func (u *unit) count(r *outcome.Refusal) {
	if outcome.IsNotRun(r.Code) {
		u.group.owner.Metrics.NotRun.Add(r.Code, 1)
		return
	}
	u.group.owner.Metrics.Unknown.Add(1)
}

// abandon ends the unit because its caller is gone: a connection in use is closed, since
// nobody knows what state it will be in.
func (u *unit) abandon() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over {
		return
	}
	u.failed = true
	if u.conn != nil {
		u.conn.Close()
	}
}

func (u *unit) cancelRunning(ctx context.Context) {
	u.mu.Lock()
	conn := u.conn
	over := u.over
	u.mu.Unlock()
	if conn != nil && !over {
		_ = conn.Cancel(ctx)
	}
}

// ready takes note of a ReadyForQuery and reports whether the unit is over.
func (u *unit) ready(status byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	over := u.tracker.Ready(status)
	u.mayCommit = false
	u.rewriter.replies = nil
	if over {
		u.over = true
		return true
	}
	if u.tracker.Outstanding() == 0 {
		u.conn.SetDeadline(time.Now().Add(idleInTxLimit))
	}
	return false
}

// lost says what a failed connection means for the caller.
func (u *unit) lost() *outcome.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !u.sentAny:
		return outcome.NotRun(outcome.ServerLost, "the backend server was lost before the request was sent", "Send it again.")
	case u.tracker.InTransaction() && !u.mayCommit:
		r := outcome.NotRun(outcome.TransactionLost, "the backend server was lost before the transaction was to be committed, so it is rolled back", "Connect again and repeat the whole transaction.")
		r.Fatal = true
		return r
	}
	r := outcome.MayHaveRun("the connection to the backend server was lost before it answered")
	r.Fatal = u.tracker.InTransaction()
	return r
}

func (u *unit) answered(f frame.Frame) frame.Frame {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rewriter.answered(f, u.conn)
}

func floorFrame(p session.Position) frame.Frame {
	return frame.Encode(&pgproto3.ParameterStatus{Name: floorSetting, Value: p.String()})
}
