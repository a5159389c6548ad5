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

// place is a server's place for a statement, and a connection to it.
type place struct {
	group     *group
	slot      string
	onPrimary bool
	at        standing
	link      *link
	pool      *pool
	asked     time.Time
	answered  bool
	// took is how long the server worked on the last statement; 0 if it did not run it.
	took time.Duration
	// running says that a place in the server's queue is taken.
	running bool
	// spoiled connections may be interrupted at any time.
	spoiled bool
}

// place waits for a server and a connection; the answer says why there is none.
func (w *work) place(ctx context.Context, job dispatch.Job) (*place, *wire.StatementAnswer) {
	g := w.group
	job.Priority = w.database.Priority
	job.Deadline = w.deadline
	if w.database.LatencyMilliseconds > 0 {
		job.Aim = time.Duration(w.database.LatencyMilliseconds) * time.Millisecond
		job.Objective = w.began.Add(job.Aim)
	}
	at, leads := g.leads()
	if job.Primary && !leads {
		return nil, elsewhere("this entry VM has no lease on the primary")
	}
	if job.Primary && g.doubtful() {
		return nil, elsewhere("the primary does not answer this entry VM")
	}
	arrived := clock.Now()
	t := g.turn(job)
	defer func() { w.waited.Add(clock.Now().Sub(arrived).Microseconds()) }()
	if t.refused != nil {
		return nil, refusal(t.refused)
	}
	p := &place{group: g, slot: t.slot, at: at, onPrimary: t.slot == at.primary, running: true, asked: clock.Now()}
	if job.Primary && !p.onPrimary {
		g.done(t.slot, 0, true)
		return nil, elsewhere("the primary changed while the statement waited")
	}
	if p.onPrimary && !g.enterPrimary(at) {
		g.done(t.slot, 0, true)
		return nil, elsewhere("the lease on the primary ended while the statement waited")
	}
	p.pool = g.pool(t.slot)
	if p.pool == nil {
		p.leave(false)
		return nil, elsewhere("the server is gone")
	}
	var err error
	p.link, err = p.pool.take(ctx, g.runner.Servers, w.values)
	if err != nil {
		p.refusedBy(err)
		p.leave(false)
		return nil, elsewhere("no connection to the server: " + err.Error())
	}
	if p.link.fresh {
		g.runner.Metrics.BackendConnects.Add(1)
	}
	return p, nil
}

// refusedBy tells a VM without a server from one that cannot be reached.
func (p *place) refusedBy(err error) {
	if !p.onPrimary || errors.Is(err, errNoConnection) {
		return
	}
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	now := clock.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.group.health.Refused(now)
	} else {
		p.group.health.Asked(p.asked)
	}
}

// run makes the connection ready for the session and runs its statement.
func (p *place) run(w *work, floor session.Position) (Reply, error) {
	q := w.request
	steps := setup.Plan(p.link.state, w.values, q.GetDefinition())
	p.asked = clock.Now()
	p.answered = false
	if p.onPrimary {
		p.group.noteAsked(p.asked)
	}
	if w.repeatable() {
		p.group.watch(p)
		defer p.group.unwatch(p)
	}
	reply, err := p.link.Run(w.left(), steps, Query{ID: q.GetId(), Text: q.GetText(), Definition: q.GetDefinition(), Floor: floor})
	p.noteReply(reply, err)
	w.ran.Add(clock.Now().Sub(p.asked).Microseconds())
	if err != nil {
		return reply, err
	}
	p.link.state = p.link.state.Apply(steps)
	if p.onPrimary && reply.Result != ReadOnly && p.group.stillLeads(p.at) {
		p.group.learn(p.at, p.asked, reply.Position)
	}
	return reply, nil
}

// noteReply takes note of whether the server answered; one that says that it does not lead is
// no good as a primary.
func (p *place) noteReply(reply Reply, err error) {
	p.answered = err == nil
	p.took = 0
	if err != nil {
		return
	}
	if reply.Result == Succeeded || reply.Result == ExecutionFailed {
		p.took = clock.Now().Sub(p.asked)
	}
	if p.onPrimary && reply.Result != ReadOnly {
		p.group.noteAnswered(p.asked)
	}
	p.group.noteReply(p.slot, p.asked, reply, p.onPrimary)
}

// deposed takes note that the recorded primary says that it does not lead.
func (p *place) deposed() {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	p.group.health.Refused(clock.Now())
}

// release gives the connection back, or closes it, and ends the place.
func (p *place) release(clean bool) {
	p.pool.put(p.link, clean && !p.spoiled)
	if !p.answered {
		p.pool.drop()
	}
	p.leave(p.answered)
}

// leave gives up the place on the server.
func (p *place) leave(answered bool) {
	if p.running {
		p.running = false
		p.group.done(p.slot, p.took, answered)
	}
	if p.onPrimary {
		p.group.leavePrimary()
	}
}

// rest gives the place in the server's queue to others, while a transaction keeps the connection.
func (p *place) rest() {
	p.running = false
	p.group.done(p.slot, p.took, p.answered)
}
