package runner

import (
	"context"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

const (
	// maxAttempts bounds on how many servers one read is tried.
	maxAttempts = 4
	// hedgeInterval is the least time, and hedgeFactor how many times the usual one, after which a
	// read is asked a second time: few reads take as long.
	hedgeInterval = 120 * time.Millisecond
	hedgeFactor   = 6
)

// read runs a read, or begins a transaction that only reads, wherever the log is fresh enough. A
// read that stands alone and is late is asked a second time: an answer may have been lost.
func (r *Runner) read(ctx context.Context, w *work) *wire.StatementAnswer {
	if w.request.GetUnit() != "" {
		return r.readAnywhere(ctx, w, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.group.spend(false)
	answers := make(chan *wire.StatementAnswer, 2)
	go func() { answers <- r.readAnywhere(ctx, w, nil) }()
	ticker := time.NewTicker(hedgeInterval)
	defer ticker.Stop()
	for asked := 1; ; {
		select {
		case a := <-answers:
			if asked == 1 || a.GetDisposition() == wire.Disposition_DISPOSITION_ANSWERED {
				return a
			}
			asked--
		case <-ticker.C:
			if slot, late := w.late(); asked == 1 && late && w.group.spend(true) {
				asked++
				w.group.runner.Metrics.Retries.Add(1)
				go func() { answers <- r.readAnywhere(ctx, w, []string{slot}) }()
			}
		}
	}
}

// late reports whether the server that works on a read takes much longer than it usually does.
func (w *work) late() (string, bool) {
	w.mu.Lock()
	slot, since := w.slot, w.placed
	w.mu.Unlock()
	if slot == "" {
		return "", false
	}
	usual := hedgeFactor * w.group.service(slot)
	return slot, clock.Now().Sub(since) >= max(hedgeInterval, usual)
}

func (r *Runner) readAnywhere(ctx context.Context, w *work, avoid []string) *wire.StatementAnswer {
	last := elsewhere("no server may run the read")
	for tried := range maxAttempts {
		job, floor := w.choice(avoid)
		p, refused := w.place(ctx, job)
		if refused != nil {
			if tried > 0 {
				return last
			}
			return refused
		}
		if p.onPrimary {
			floor = session.Position{}
		}
		w.mu.Lock()
		w.slot, w.placed = p.slot, clock.Now()
		w.mu.Unlock()
		reply, err := w.tryRead(ctx, p, floor)
		if w.usable(p, reply, err) {
			r.countRead(p)
			if w.request.GetUnit() != "" && reply.State == 'T' {
				r.keep(w, p)
			} else {
				p.release(reply.State == 'I')
			}
			return answered(reply)
		}
		p.release(err == nil && reply.State == 'I' && reply.Result != NotPrepared)
		last = elsewhere("no server that was tried could run the read")
		r.Metrics.Retries.Add(1)
		avoid = append(avoid, p.slot)
	}
	return last
}

// choice says which servers may run the read, and the position that they must have.
func (w *work) choice(avoid []string) (dispatch.Job, session.Position) {
	job := dispatch.Job{Avoid: avoid}
	if w.database.Consistency == config.ConsistencyPrimary {
		job.Primary = true
		job.Avoid = nil
		return job, session.Position{}
	}
	own := w.own
	if w.database.Consistency != config.ConsistencySession {
		own = session.Position{}
	}
	floor, ok := w.group.floor(w.began, w.staleness, own)
	job.Primary = !ok
	if job.Primary {
		job.Avoid = nil
		return job, floor
	}
	job.Avoid = append(w.group.behind(floor), avoid...)
	return job, floor
}

// tryRead runs the read, in a transaction of its own if it begins one.
func (w *work) tryRead(ctx context.Context, p *place, floor session.Position) (Reply, error) {
	// Whoever has the answer elsewhere ends the attempt, which frees its place.
	stop := context.AfterFunc(ctx, p.link.Interrupt)
	// An interruption that has begun may still reach the connection after this use of it.
	defer func() { p.spoiled = !stop() }()
	if w.request.GetUnit() == "" {
		return p.run(w, floor)
	}
	reply, err := p.link.Begin(w.left(), true, floor)
	p.noteReply(reply, err)
	if err != nil || reply.Result != Succeeded {
		return reply, err
	}
	return p.run(w, session.Position{})
}

// usable reports whether the answer to a read may be given out; if not, nothing is known of the
// read and it may be tried again.
func (w *work) usable(p *place, reply Reply, err error) bool {
	if err != nil || reply.Result != Succeeded && reply.Result != ExecutionFailed {
		if err == nil && p.onPrimary && reply.Result == ReadOnly {
			p.deposed()
		}
		return false
	}
	return !p.onPrimary || w.group.stillLeads(p.at)
}

func (r *Runner) countRead(p *place) {
	r.Metrics.ReadsEligible.Add(1)
	if p.onPrimary {
		r.Metrics.ReadsByPrimary.Add(1)
	} else {
		r.Metrics.ReadsByReplica.Add(1)
	}
}

// repeatable reports whether another server may be asked when one is late.
func (w *work) repeatable() bool {
	q := w.request
	return q.GetKind() == wire.StatementKind_STATEMENT_KIND_READ && (q.GetUnit() == "" || q.GetBegins() && q.GetReadsOnly())
}
