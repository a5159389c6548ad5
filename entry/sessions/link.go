package sessions

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	// quietLimit is how long a link may answer nothing at all, while something is asked, before
	// reads are tried elsewhere; it is several times what a loaded link takes.
	quietLimit = 250 * time.Millisecond
)

// link is the way to one other entry VM.
type link struct {
	client protorpc.Client

	mu    sync.Mutex
	heard time.Time
	// down is set from when the VM could not be reached, or was quiet, until it answers anything.
	down    bool
	pinging bool
}

var errQuiet = errors.New("the link has gone quiet")

// run has the other VM run a statement. With hasty it gives up when the whole link has been quiet
// for long, not only this statement.
func (l *link) run(ctx context.Context, r *wire.StatementRequest, a *wire.StatementAnswer, hasty bool) error {
	asked := clock.Now()
	done := make(chan error, 1)
	// The answer is decoded into a message of its own, since it may come after this has given up.
	answer := &wire.StatementAnswer{}
	go func() { done <- l.client.Call(ctx, "Statements.Run", r, answer) }()
	for {
		wait := time.NewTimer(quietLimit / 2)
		select {
		case err := <-done:
			wait.Stop()
			l.note(err)
			if err == nil {
				take(a, answer)
			}
			return err
		case <-wait.C:
			if hasty && l.quietSince(asked) {
				return errQuiet
			}
			l.ping()
		}
	}
}

// ping asks the other VM for a sign of life: its statements may all take long, and while it is
// down it is asked nothing else.
func (l *link) ping() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pinging || clock.Now().Sub(l.heard) < quietLimit/2 {
		return
	}
	l.pinging = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), quietLimit)
		defer cancel()
		err := l.client.Call(ctx, "Statements.Ping", &wire.Empty{}, &wire.Empty{})
		l.note(err)
		l.mu.Lock()
		l.pinging = false
		l.mu.Unlock()
	}()
}

func (l *link) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case err == nil:
		l.heard = now
		l.down = false
	case errors.Is(err, protorpc.ErrNotConnected):
		l.down = true
	}
}

// quietSince reports whether the link has been quiet since a statement was asked.
func (l *link) quietSince(asked time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	quiet := now.Sub(asked) >= quietLimit && now.Sub(l.heard) >= quietLimit
	l.down = l.down || quiet
	return quiet
}

// isDown reports whether the VM is out of reach, as far as is known.
func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// heardSince reports whether the VM has answered anything since a time.
func (l *link) heardSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard.After(at)
}

// take copies an answer.
func take(to, from *wire.StatementAnswer) {
	to.Disposition, to.Rows, to.Signature = from.GetDisposition(), from.GetRows(), from.GetSignature()
	to.Code, to.Message, to.State = from.GetCode(), from.GetMessage(), from.GetState()
	to.Position, to.RetryMilliseconds, to.Reason = from.GetPosition(), from.GetRetryMilliseconds(), from.GetReason()
	to.WaitedMicroseconds, to.RanMicroseconds = from.GetWaitedMicroseconds(), from.GetRanMicroseconds()
}
