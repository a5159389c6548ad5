package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

// minRetryDelay is the shortest retry delay that callers are given.
const minRetryDelay = 20 * time.Millisecond

// workItem is one statement in progress.
type workItem struct {
	group    *group
	request  *wire.StatementRequest
	database config.Database
	values   map[string]string
	// receivedAt is when the caller's VM had read the statement, and deadline is when it expires,
	// both by package clock.
	receivedAt   time.Time
	deadline     time.Time
	staleness    time.Duration
	sessionFloor session.Position
	// holding counts the answer; nil counts nothing.
	holding *budget.Holding

	// mu guards slot and assignedAt: the server of a read's latest attempt, and since when it
	// runs there.
	mu         sync.Mutex
	slot       string
	assignedAt time.Time
	// admission is guarded by mu too.
	admission admission

	// waitMicros and runMicros are the times spent waiting for a server and running there, in
	// microseconds.
	waitMicros, runMicros atomic.Int64
}

// ioDeadline returns the statement's deadline in wall-clock time, as connections need it.
func (w *workItem) ioDeadline() time.Time { return time.Now().Add(w.deadline.Sub(clock.Now())) }

func newWorkItem(now time.Time, g *group, q *wire.StatementRequest, d config.Database, staleness time.Duration) *workItem {
	return &workItem{
		group: g, request: q, database: d, staleness: staleness, sessionFloor: session.FromWire(q.GetFloor()),
		receivedAt: now.Add(-time.Duration(q.GetAgeMilliseconds()) * time.Millisecond),
		deadline:   now.Add(time.Duration(q.GetPatienceMilliseconds()) * time.Millisecond),
		values:     map[string]string{},
	}
}

// Execute runs one statement. The answer's disposition states whether the statement ran, except
// for DISPOSITION_UNKNOWN.
func (r *Runner) Execute(ctx context.Context, q *wire.StatementRequest) *wire.StatementAnswer {
	d, _, staleness, ok := r.View.Database(q.GetDatabase())
	if !ok {
		return retryElsewhere("the owner does not know the database")
	}
	g := r.group(d.Group)
	if g == nil {
		return retryElsewhere("this entry VM does not own the group")
	}
	now := clock.Now()
	begins := q.GetUnit() == "" || q.GetBegins()
	if begins && r.RecentlySuspended() {
		return retryElsewhere("this entry VM stood still until now")
	}
	w := newWorkItem(now, g, q, d, staleness)
	w.holding = budget.HoldingOf(ctx)
	for _, s := range q.GetSettings() {
		w.values[s.GetName()] = s.GetValue()
	}
	ctx, cancel := context.WithDeadline(ctx, w.ioDeadline())
	defer cancel()
	r.Metrics.Units.Add(1)
	a := r.admitAndExecute(ctx, w, begins)
	a.WaitedMicroseconds, a.RanMicroseconds = uint32(w.waitMicros.Load()), uint32(w.runMicros.Load())
	return a
}

// admitAndExecute runs one statement, if its workspace may start an operation. A transaction is one
// operation, which its first statement starts.
func (r *Runner) admitAndExecute(ctx context.Context, w *workItem, begins bool) *wire.StatementAnswer {
	if begins {
		if refused := r.admit(ctx, w); refused != nil {
			return refused
		}
		defer w.settle()
	}
	return r.execute(ctx, w)
}

func (r *Runner) execute(ctx context.Context, w *workItem) *wire.StatementAnswer {
	q := w.request
	switch {
	case q.GetUnit() != "" && !q.GetBegins():
		return r.resumeTransaction(ctx, w)
	case q.GetUnit() != "" && !q.GetReadsOnly():
		return r.beginTransaction(ctx, w)
	case q.GetUnit() != "" && q.GetKind() == wire.StatementKind_STATEMENT_KIND_WRITE:
		return rolledBack("a read-only transaction cannot write")
	case q.GetKind() == wire.StatementKind_STATEMENT_KIND_WRITE:
		return w.write(ctx)
	}
	return r.read(ctx, w)
}

// write runs a single write on the primary at most once.
func (w *workItem) write(ctx context.Context) *wire.StatementAnswer {
	p, refused := w.place(ctx, dispatch.Job{PrimaryOnly: true})
	if refused != nil {
		return refused
	}
	reply, err := p.run(w, session.Position{})
	defer p.release(err == nil && reply.State == 'I' && reply.Result != NotPrepared)
	switch {
	case errors.Is(err, ErrNotSent):
		return retryElsewhere("the server was lost before the statement was sent")
	case err != nil:
		return unknown("the server was lost before it answered")
	case reply.Result == ReadOnly:
		p.recordNotPrimary()
		return retryElsewhere("the primary does not lead any more")
	case reply.Result != Succeeded && reply.Result != ExecutionFailed:
		return retryElsewhere("the server did not run it: " + reply.Code)
	case reply.Result == Succeeded && !w.group.stillHasLease(p.observed):
		return unknown("the lease for the primary's term ended before it answered")
	}
	w.group.runner.Metrics.WritesAcked.Add(1)
	return answered(reply)
}

func answered(r Reply) *wire.StatementAnswer {
	return &wire.StatementAnswer{
		Disposition: wire.Disposition_DISPOSITION_ANSWERED, Rows: r.Rows, Signature: r.Signature,
		Code: r.Code, Message: r.Message, State: string(rune(r.State)), Position: r.Position.Wire(),
	}
}

// retryElsewhere answers that the statement did not run and may be sent to another owner.
func retryElsewhere(reason string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: reason}
}

// unknown answers that the statement may have run.
func unknown(reason string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_UNKNOWN, Reason: reason}
}

// rolledBack answers that the statement's transaction was rolled back.
func rolledBack(reason string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ROLLED_BACK, Reason: reason}
}

// refusalReasons are the reasons of the queue's refusals.
var refusalReasons = map[dispatch.Reason]string{
	dispatch.NoServer:         "no server of the group may run it now",
	dispatch.DeadlineExceeded: "its turn would come after its time",
	dispatch.QueueFull:        "too much waits for the group",
	dispatch.Abandoned:        "its caller has left",
}

// refusal counts a refusal of the queue and answers it. The time to retry is the queue's forecast for the
// job, spread so that callers refused together do not come back together.
func (g *group) refusal(j dispatch.Job, r *dispatch.Refusal) *wire.StatementAnswer {
	g.runner.Metrics.CountQueueRefusal(r.Reason.String(), j.Priority)
	if r.Reason == dispatch.NoServer {
		return retryElsewhere(refusalReasons[r.Reason])
	}
	g.mu.Lock()
	wait := g.queue.RetryAfter(clock.Now(), j)
	g.mu.Unlock()
	return &wire.StatementAnswer{
		Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: refusalReasons[r.Reason], RetryMilliseconds: uint32(spread(wait).Milliseconds()),
	}
}

// spread returns a random time to retry between one and two times a wait.
func spread(wait time.Duration) time.Duration {
	wait = max(wait, minRetryDelay)
	return wait + rand.N(wait)
}
