package runner

import (
	"context"
	"errors"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

const (
	// maxAttempts is the maximum number of servers on which one read is attempted.
	maxAttempts = 4
	// A read is hedged with a second attempt after hedgeInterval, and not before hedgeFactor
	// times the server's usual service time; few reads take that long.
	hedgeInterval = 120 * time.Millisecond
	hedgeFactor   = 6
)

// read runs a read, or begins a read-only transaction, on any server whose log is fresh enough.
// An overdue read outside a transaction is hedged with a second attempt, since its answer may be
// lost.
func (r *Runner) read(ctx context.Context, w *workItem) *wire.StatementAnswer {
	if w.request.GetUnit() != "" {
		return r.readWithRetries(ctx, w, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.group.chargeRetryBudget(false)
	answers := make(chan *wire.StatementAnswer, 2)
	go func() { answers <- r.readWithRetries(ctx, w, nil) }()
	ticker := time.NewTicker(hedgeInterval)
	defer ticker.Stop()
	for outstanding := 1; ; {
		select {
		case a := <-answers:
			if outstanding == 1 || a.GetDisposition() == wire.Disposition_DISPOSITION_ANSWERED {
				return a
			}
			outstanding--
		case <-ticker.C:
			if slot, overdue := w.overdue(); outstanding == 1 && overdue && w.group.chargeRetryBudget(true) {
				outstanding++
				w.group.runner.Metrics.Retries.Add(1)
				go func() { answers <- r.readWithRetries(ctx, w, []string{slot}) }()
			}
		}
	}
}

// overdue returns the server that runs the read and whether it takes much longer than usual.
func (w *workItem) overdue() (string, bool) {
	w.mu.Lock()
	slot, since := w.slot, w.assignedAt
	w.mu.Unlock()
	if slot == "" {
		return "", false
	}
	usual := hedgeFactor * w.group.serviceTime(slot)
	return slot, clock.Now().Sub(since) >= max(hedgeInterval, usual)
}

func (r *Runner) readWithRetries(ctx context.Context, w *workItem, avoid []string) *wire.StatementAnswer {
	failure := retryElsewhere("no server may run the read")
	couldNotRead := false
	for attempt := range maxAttempts {
		job, floor := w.readJob(avoid)
		p, refused := w.place(ctx, job)
		if refused != nil {
			if attempt > 0 {
				return failure
			}
			return refused
		}
		if p.onPrimary {
			floor = session.Position{}
		}
		w.mu.Lock()
		w.slot, w.assignedAt = p.slot, clock.Now()
		w.mu.Unlock()
		reply, err := w.tryRead(ctx, p, floor)
		if w.canAnswer(p, reply, err) {
			r.countRead(p)
			if w.request.GetUnit() != "" && reply.State == 'T' {
				r.addTransaction(w, p)
			} else {
				p.release(reply.State == 'I')
			}
			return answered(reply)
		}
		p.release(err == nil && reply.State == 'I' && reply.Result != NotPrepared)
		if errors.Is(err, ErrUnreadable) {
			// Another owner would run the read on the same servers, again and again until its time has passed.
			couldNotRead, failure = true, answered(reply)
		}
		if !couldNotRead {
			failure = retryElsewhere("no server that was tried could run the read")
		}
		r.Metrics.Retries.Add(1)
		avoid = append(avoid, p.slot)
	}
	return failure
}

// readJob returns the job that selects the servers for the read, and the position that they must
// have reached.
func (w *workItem) readJob(avoid []string) (dispatch.Job, session.Position) {
	now := clock.Now()
	job, floor, allLagging := w.evaluateRead(now, avoid)
	if allLagging {
		w.group.recordAllLagging(now)
	}
	return job, floor
}

// evaluateRead is readJob without a record of its result; allLagging says that every replica lags too far.
func (w *workItem) evaluateRead(now time.Time, avoid []string) (job dispatch.Job, floor session.Position, allLagging bool) {
	job = dispatch.Job{ExcludedSlots: avoid}
	if w.database.Consistency == config.ConsistencyPrimary {
		job.PrimaryOnly = true
		job.ExcludedSlots = nil
		return job, session.Position{}, false
	}
	sessionFloor := w.sessionFloor
	if w.database.Consistency != config.ConsistencySession {
		sessionFloor = session.Position{}
	}
	floor, ok := w.group.floor(w.receivedAt, w.staleness, sessionFloor)
	job.PrimaryOnly = !ok
	if job.PrimaryOnly {
		job.ExcludedSlots = nil
		return job, floor, false
	}
	lagging, allLagging := w.group.laggingReplicas(now, floor)
	job.ExcludedSlots = append(lagging, avoid...)
	return job, floor, allLagging
}

// tryRead runs the read once, after starting its transaction if it begins one.
func (w *workItem) tryRead(ctx context.Context, p *placement, floor session.Position) (Reply, error) {
	// When another attempt has answered, ctx ends and interrupts this one, which frees its
	// server.
	stop := context.AfterFunc(ctx, p.conn.Interrupt)
	// An interrupt that has already started may still hit the connection after this attempt ends.
	defer func() { p.interruptPending = !stop() }()
	if w.request.GetUnit() == "" {
		return p.run(w, floor)
	}
	reply, err := p.conn.Begin(w.ioDeadline(), true, floor)
	p.recordReply(reply, err)
	p.logDoubt(w.request.GetId(), reply, err)
	if err != nil || reply.Result != Succeeded {
		return reply, err
	}
	return p.run(w, session.Position{})
}

// canAnswer reports whether the reply to a read may be returned; if not, the read may be retried.
func (w *workItem) canAnswer(p *placement, reply Reply, err error) bool {
	if err != nil || reply.Result != Succeeded && reply.Result != ExecutionFailed {
		if err == nil && p.onPrimary && reply.Result == ReadOnly {
			p.recordNotPrimary()
		}
		return false
	}
	return !p.onPrimary || w.group.stillHasLease(p.observed)
}

func (r *Runner) countRead(p *placement) {
	r.Metrics.ReadsEligible.Add(1)
	if p.onPrimary {
		r.Metrics.ReadsByPrimary.Add(1)
	} else {
		r.Metrics.ReadsByReplica.Add(1)
	}
}

// canBeginElsewhere reports whether the statement is the first of a transaction and a read, which another owner may run
// if this one could not.
func (w *workItem) canBeginElsewhere() bool {
	return w.request.GetBegins() && w.request.GetKind() == wire.StatementKind_STATEMENT_KIND_READ
}

// canRetry reports whether the statement may be retried on another server when one stops
// answering.
func (w *workItem) canRetry() bool {
	q := w.request
	return q.GetKind() == wire.StatementKind_STATEMENT_KIND_READ && (q.GetUnit() == "" || q.GetBegins() && q.GetReadsOnly())
}
