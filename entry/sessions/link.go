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
	// downLife is how long a VM that could not be connected to is asked last.
	downLife = time.Second
)

// link is the way to one other entry VM.
type link struct {
	client protorpc.Client

	mu      sync.Mutex
	heard   time.Time
	down    time.Time
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

// ping asks the other VM for a sign of life, since its statements may all take long.
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
		l.down = time.Time{}
	case errors.Is(err, protorpc.ErrNotConnected):
		l.down = now
	}
}

// quietSince reports whether the link has been quiet since a statement was asked.
func (l *link) quietSince(asked time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	quiet := now.Sub(asked) >= quietLimit && now.Sub(l.heard) >= quietLimit
	if quiet {
		l.down = now
	}
	return quiet
}

// isDown reports whether the VM should be asked last.
func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down.IsZero() && clock.Now().Sub(l.down) < downLife
}

// take copies an answer.
func take(to, from *wire.StatementAnswer) {
	to.Disposition, to.Rows, to.Signature = from.GetDisposition(), from.GetRows(), from.GetSignature()
	to.Code, to.Message, to.State = from.GetCode(), from.GetMessage(), from.GetState()
	to.Position, to.RetryMilliseconds, to.Reason = from.GetPosition(), from.GetRetryMilliseconds(), from.GetReason()
	to.WaitedMicroseconds, to.RanMicroseconds = from.GetWaitedMicroseconds(), from.GetRanMicroseconds()
}
