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
	// silenceTimeout is how long a link with pending requests may stay silent before reads are
	// retried elsewhere; a loaded link answers several times sooner.
	silenceTimeout = 250 * time.Millisecond
)

// link is the connection to another entry VM.
type link struct {
	client protorpc.Client

	mu        sync.Mutex
	lastHeard time.Time
	// unreachable is set when the VM cannot be reached or is silent, until its next answer.
	unreachable bool
	pinging     bool
}

var errSilent = errors.New("the link has gone quiet")

// run sends a statement to the other VM. With failFast it gives up once the whole link, not only
// this statement, has been silent for silenceTimeout.
func (l *link) run(ctx context.Context, r *wire.StatementRequest, a *wire.StatementAnswer, failFast bool) error {
	sentAt := clock.Now()
	done := make(chan error, 1)
	// The answer has its own message, since it may be decoded after run has returned.
	answer := &wire.StatementAnswer{}
	go func() { done <- l.client.Call(ctx, "Statements.Run", r, answer) }()
	for {
		timer := time.NewTimer(silenceTimeout / 2)
		select {
		case err := <-done:
			timer.Stop()
			l.recordResult(err)
			if err == nil {
				copyAnswer(a, answer)
			}
			return err
		case <-timer.C:
			if failFast && l.silentSince(sentAt) {
				return errSilent
			}
			l.ping()
		}
	}
}

// ping checks that the other VM answers, since all its statements may be slow and no statement is
// sent to it while it is unreachable.
func (l *link) ping() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pinging || clock.Now().Sub(l.lastHeard) < silenceTimeout/2 {
		return
	}
	l.pinging = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
		defer cancel()
		err := l.client.Call(ctx, "Statements.Ping", &wire.Empty{}, &wire.Empty{})
		l.recordResult(err)
		l.mu.Lock()
		l.pinging = false
		l.mu.Unlock()
	}()
}

func (l *link) recordResult(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	switch {
	case err == nil:
		l.lastHeard = now
		l.unreachable = false
	case errors.Is(err, protorpc.ErrNotConnected):
		l.unreachable = true
	}
}

// silentSince reports whether the link has been silent since a statement was sent.
func (l *link) silentSince(sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	silent := now.Sub(sentAt) >= silenceTimeout && now.Sub(l.lastHeard) >= silenceTimeout
	l.unreachable = l.unreachable || silent
	return silent
}

// isUnreachable reports whether the VM is known to be unreachable.
func (l *link) isUnreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable
}

// heardSince reports whether the VM has answered since at.
func (l *link) heardSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastHeard.After(at)
}

func copyAnswer(to, from *wire.StatementAnswer) {
	to.Disposition, to.Rows, to.Signature = from.GetDisposition(), from.GetRows(), from.GetSignature()
	to.Code, to.Message, to.State = from.GetCode(), from.GetMessage(), from.GetState()
	to.Position, to.RetryMilliseconds, to.Reason = from.GetPosition(), from.GetRetryMilliseconds(), from.GetReason()
	to.WaitedMicroseconds, to.RanMicroseconds = from.GetWaitedMicroseconds(), from.GetRanMicroseconds()
}
