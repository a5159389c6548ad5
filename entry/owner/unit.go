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
	// maxBufferedBytes limits the frames of a unit that are buffered before it has a connection and
	// for a retry, and the part of its answer that is held back until the commit is acknowledged.
	maxBufferedBytes     = 256 << 10
	maxBufferedReadBytes = 16 << 10
	floorSetting         = "trefoil.floor"
	idleInTxTimeout      = 5 * time.Minute
)

type feedResult int

const (
	feedAccepted feedResult = iota
	// feedUnitEnded means that the unit has ended; the frame starts another.
	feedUnitEnded
	// feedUnitFailed means that the unit has failed; the frame is dropped.
	feedUnitFailed
)

// unit is a unit of work: a transaction, or a batch of statements outside a transaction.
type unit struct {
	stream    *unitStream
	group     *group
	open      *wire.Open
	startedAt time.Time
	deadline  time.Time
	done      chan struct{}
	refused   bool

	mu            sync.Mutex
	attached      chan struct{}
	conn          *backend.Conn
	tracker       frame.Tracker
	rewriter      rewriter
	buffered      []frame.Frame
	bufferedBytes int
	buffering     bool
	ended         bool
	failed        bool
	// sentAny is set once a frame was forwarded on the connection; mayCommit is set if a frame
	// forwarded since the last ReadyForQuery could commit.
	sentAny bool
	// unsentFloor is a floor not yet reported to the session; only the worker uses it.
	unsentFloor *session.Position
	mayCommit   bool
}

func newUnit(stream *unitStream, group *group, open *wire.Open) *unit {
	deadline := time.Duration(open.GetDeadlineMilliseconds()) * time.Millisecond
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	now := time.Now()
	return &unit{
		stream: stream, group: group, open: open, startedAt: now, deadline: now.Add(deadline),
		done: make(chan struct{}), attached: make(chan struct{}),
		rewriter: rewriter{statements: stream.statements}, buffering: true,
	}
}

// feed handles a frame from the caller. It blocks while the buffer is full and no connection is
// attached.
func (u *unit) feed(f frame.Frame) feedResult {
	u.mu.Lock()
	for u.conn == nil && u.bufferedBytes > maxBufferedBytes && !u.ended && !u.failed {
		attached := u.attached
		u.mu.Unlock()
		select {
		case <-attached:
		case <-u.done:
		}
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	switch {
	case u.failed:
		return feedUnitFailed
	case u.ended:
		return feedUnitEnded
	}
	u.tracker.Sent(f)
	if u.buffering {
		u.buffered = append(u.buffered, f)
		u.bufferedBytes += f.Size()
	}
	if u.conn == nil {
		return feedAccepted
	}
	u.buffering = u.buffering && u.bufferedBytes <= maxBufferedBytes
	if u.forward(f) != nil {
		// The goroutine that reads the server's answers handles the error.
		u.conn.Close()
	}
	return feedAccepted
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
	u.conn.SetDeadline(time.Now().Add(u.answerTimeout()))
	return u.conn.Flush()
}

// answerTimeout is how long the server may take to answer a request.
func (u *unit) answerTimeout() time.Duration { return u.deadline.Sub(u.startedAt) }

// attach assigns a connection to the unit and sends the buffered frames.
func (u *unit) attach(conn *backend.Conn) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failed {
		return errAbandoned
	}
	u.conn = conn
	u.rewriter.expected = nil
	conn.SetDeadline(time.Now().Add(u.answerTimeout()))
	for _, f := range u.buffered {
		if err := u.forward(f); err != nil {
			return err
		}
	}
	close(u.attached)
	return conn.Flush()
}

// detach removes the connection before the unit is retried on another server.
func (u *unit) detach() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = nil
	u.sentAny = false
	u.attached = make(chan struct{})
}

// retryable reports whether all frames from the caller are still buffered.
func (u *unit) retryable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.buffering && !u.failed
}

// run executes the unit on a worker of its group.
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
	u.ended = true
	u.mu.Unlock()
	select {
	case <-u.done:
	default:
		close(u.done)
	}
}

// refuse ends the unit with a refusal and stops reading from the stream.
func (u *unit) refuse(refusal *outcome.Refusal) {
	u.mu.Lock()
	alreadyFailed := u.failed
	u.failed = true
	u.refused = true
	u.mu.Unlock()
	if !alreadyFailed {
		u.countRefusal(refusal)
		u.stream.refuse(refusal)
	}
	u.end()
	_ = u.stream.conn.SetReadDeadline(time.Now())
}

func (u *unit) countRefusal(refusal *outcome.Refusal) {
	if outcome.IsNotRun(refusal.Code) {
		u.group.owner.Metrics.NotRun.Add(refusal.Code, 1)
		return
	}
	u.group.owner.Metrics.Unknown.Add(1)
}

// abandon ends the unit because its caller has disconnected. It closes the connection in use, whose
// state is unknown.
func (u *unit) abandon() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
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
	ended := u.ended
	u.mu.Unlock()
	if conn != nil && !ended {
		_ = conn.Cancel(ctx)
	}
}

// handleReady handles a ReadyForQuery and reports whether the unit has ended.
func (u *unit) handleReady(status byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	ended := u.tracker.Ready(status)
	u.mayCommit = false
	u.rewriter.expected = nil
	if ended {
		u.ended = true
		return true
	}
	if u.tracker.Outstanding() == 0 {
		u.conn.SetDeadline(time.Now().Add(idleInTxTimeout))
	}
	return false
}

// connLostRefusal returns the outcome for the caller after the backend connection failed.
func (u *unit) connLostRefusal() *outcome.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !u.sentAny:
		return outcome.NotRun(outcome.ServerLost, "the backend server was lost before the request was sent", "Send it again.")
	case u.tracker.InTransaction() && !u.mayCommit:
		refusal := outcome.NotRun(outcome.TransactionLost, "the backend server was lost before the transaction was to be committed, so it is rolled back", "Connect again and repeat the whole transaction.")
		refusal.Fatal = true
		return refusal
	}
	refusal := outcome.MayHaveRun("the connection to the backend server was lost before it answered")
	refusal.Fatal = u.tracker.InTransaction()
	return refusal
}

func (u *unit) rewriteReply(f frame.Frame) frame.Frame {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rewriter.rewriteReply(f, u.conn)
}

func floorFrame(position session.Position) frame.Frame {
	return frame.Encode(&pgproto3.ParameterStatus{Name: floorSetting, Value: position.String()})
}
