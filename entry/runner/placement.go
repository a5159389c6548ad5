package runner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
	"trefoilcourse/wire"
)

// placement is a server's placement for a statement, and a connection to it.
type placement struct {
	group      *group
	slot       string
	onPrimary  bool
	observed   leadership
	serverConn *serverConn
	pool       *pool
	sentAt     time.Time
	answered   bool
	// serviceTime is how long the server worked on the last statement; 0 if it did not run it.
	serviceTime time.Duration
	// running says that a place in the server's queue is taken.
	running bool
	// interruptible connections may be interrupted at any time.
	interruptible bool
}

// placement waits for a server and a connection; the answer says why there is none.
func (w *workItem) placement(ctx context.Context, job dispatch.Job) (*placement, *wire.StatementAnswer) {
	g := w.group
	job.Priority = w.database.Priority
	job.Deadline = w.deadline
	if w.database.LatencyMilliseconds > 0 {
		job.Aim = time.Duration(w.database.LatencyMilliseconds) * time.Millisecond
		job.Objective = w.receivedAt.Add(job.Aim)
	}
	observed, hasLease := g.hasLease()
	if job.Primary && !hasLease {
		return nil, elsewhere("this entry VM has no lease on the primary")
	}
	if job.Primary && g.primaryUnresponsive() {
		return nil, elsewhere("the primary does not answer this entry VM")
	}
	arrived := clock.Now()
	t := g.awaitServer(job)
	defer func() { w.waitMicros.Add(clock.Now().Sub(arrived).Microseconds()) }()
	if t.refused != nil {
		return nil, refusal(t.refused)
	}
	p := &placement{group: g, slot: t.slot, observed: observed, onPrimary: t.slot == observed.primary, running: true, sentAt: clock.Now()}
	if job.Primary && !p.onPrimary {
		g.finish(t.slot, 0, true)
		return nil, elsewhere("the primary changed while the statement waited")
	}
	if p.onPrimary && !g.enterPrimary(observed) {
		g.finish(t.slot, 0, true)
		return nil, elsewhere("the lease on the primary ended while the statement waited")
	}
	p.pool = g.pool(t.slot)
	if p.pool == nil {
		p.free(false)
		return nil, elsewhere("the server is gone")
	}
	var err error
	p.serverConn, err = p.pool.get(ctx, g.runner.Servers, w.values)
	if err != nil {
		p.recordConnectError(err)
		p.free(false)
		return nil, elsewhere("no connection to the server: " + err.Error())
	}
	if p.serverConn.unused {
		g.runner.Metrics.BackendConnects.Add(1)
	}
	return p, nil
}

// recordConnectError tells a VM without a server from one that cannot be reached.
func (p *placement) recordConnectError(err error) {
	if !p.onPrimary || errors.Is(err, errNoConnection) {
		return
	}
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	now := clock.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.group.health.Refused(now)
	} else {
		p.group.health.Asked(p.sentAt)
	}
}

// run makes the connection ready for the session and runs its statement.
func (p *placement) run(w *workItem, floor session.Position) (Reply, error) {
	q := w.request
	steps := setup.Plan(p.serverConn.state, w.values, q.GetDefinition())
	p.sentAt = clock.Now()
	p.answered = false
	if p.onPrimary {
		p.group.recordRequest(p.sentAt)
	}
	if w.canRetry() {
		p.group.trackRead(p)
		defer p.group.untrackRead(p)
	}
	reply, err := p.serverConn.Run(w.ioDeadline(), steps, Query{ID: q.GetId(), Text: q.GetText(), Definition: q.GetDefinition(), Floor: floor})
	p.recordReply(reply, err)
	w.runMicros.Add(clock.Now().Sub(p.sentAt).Microseconds())
	if err != nil {
		return reply, err
	}
	p.serverConn.state = p.serverConn.state.Apply(steps)
	if p.onPrimary && reply.Result != ReadOnly && p.group.stillHasLease(p.observed) {
		p.group.recordPosition(p.observed, p.sentAt, reply.Position)
	}
	return reply, nil
}

// recordReply takes note of whether the server answered; one that says that it does not lead is
// no good as a primary.
func (p *placement) recordReply(reply Reply, err error) {
	p.answered = err == nil
	p.serviceTime = 0
	if err != nil {
		return
	}
	if reply.Result == Succeeded || reply.Result == ExecutionFailed {
		p.serviceTime = clock.Now().Sub(p.sentAt)
	}
	if p.onPrimary && reply.Result != ReadOnly {
		p.group.recordAnswer(p.sentAt)
	}
	p.group.recordReply(p.slot, p.sentAt, reply, p.onPrimary)
}

// recordNotPrimary takes note that the recorded primary says that it does not lead.
func (p *placement) recordNotPrimary() {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	p.group.health.Refused(clock.Now())
}

// release gives the connection back, or closes it, and ends the place.
func (p *placement) release(clean bool) {
	p.pool.put(p.serverConn, clean && !p.interruptible)
	if !p.answered {
		p.pool.closeIdle()
	}
	p.free(p.answered)
}

// free gives up the place on the server.
func (p *placement) free(answered bool) {
	if p.running {
		p.running = false
		p.group.finish(p.slot, p.serviceTime, answered)
	}
	if p.onPrimary {
		p.group.leavePrimary()
	}
}

// yield gives the place in the server's queue to others, while a transaction keeps the connection.
func (p *placement) yield() {
	p.running = false
	p.group.finish(p.slot, p.serviceTime, p.answered)
}
