package runner

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
	"trefoilcourse/wire"
)

const (
	// maxAttempts bounds on how many servers one read is tried.
	maxAttempts = 4
	// busyPause is how long a server whose queue is full is left before it is asked again.
	busyPause = 10 * time.Millisecond
	// hedgeInterval is the least time, and hedgeFactor how many times the usual one, after which a
	// read is asked a second time: few reads take as long.
	hedgeInterval = 120 * time.Millisecond
	hedgeFactor   = 6
)

// work is one statement on its way.
type work struct {
	group    *group
	request  *wire.StatementRequest
	database config.Database
	values   map[string]string
	// began is when the caller's VM had read it, by package clock; deadline is its end.
	began     time.Time
	deadline  time.Time
	staleness time.Duration
	own       session.Position

	// mu guards where the first attempt of a read runs, and since when.
	mu     sync.Mutex
	slot   string
	placed time.Time
}

// left returns the end of the statement's time for connections.
func (w *work) left() time.Time { return time.Now().Add(w.deadline.Sub(clock.Now())) }

// Execute runs one statement; every answer but unknown says whether it ran.
func (r *Runner) Execute(ctx context.Context, q *wire.StatementRequest) *wire.StatementAnswer {
	d, _, staleness, ok := r.View.Database(q.GetDatabase())
	if !ok {
		return elsewhere("the owner does not know the database")
	}
	g := r.group(d.Group)
	if g == nil {
		return elsewhere("this entry VM does not own the group")
	}
	now := clock.Now()
	w := &work{
		group: g, request: q, database: d, staleness: staleness, own: session.FromWire(q.GetFloor()),
		began:    now.Add(-time.Duration(q.GetAgeMilliseconds()) * time.Millisecond),
		deadline: now.Add(time.Duration(q.GetPatienceMilliseconds()) * time.Millisecond),
		values:   map[string]string{},
	}
	for _, s := range q.GetSettings() {
		w.values[s.GetName()] = s.GetValue()
	}
	ctx, cancel := context.WithDeadline(ctx, w.left())
	defer cancel()
	r.Metrics.Units.Add(1)
	switch {
	case q.GetUnit() != "" && !q.GetBegins():
		return r.resume(ctx, w)
	case q.GetUnit() != "" && !q.GetReadsOnly():
		return r.begin(ctx, w)
	case q.GetKind() == wire.StatementKind_STATEMENT_KIND_WRITE:
		return w.write(ctx)
	}
	return r.read(ctx, w)
}

// write runs a single write on the primary, at most once.
func (w *work) write(ctx context.Context) *wire.StatementAnswer {
	p, refused := w.place(ctx, dispatch.Job{Primary: true})
	if refused != nil {
		return refused
	}
	reply, err := p.run(w, session.Position{})
	defer p.release(err == nil && reply.State == 'I' && reply.Verdict != NotPrepared)
	switch {
	case errors.Is(err, ErrNotSent):
		return elsewhere("the server was lost before the statement was sent")
	case err != nil:
		return unknown("the server was lost before it answered")
	case reply.Verdict == ReadOnly:
		p.deposed()
		return elsewhere("the primary does not lead any more")
	case reply.Verdict != Succeeded && reply.Verdict != RanAndFailed:
		return elsewhere("the server did not run it: " + reply.Code)
	case reply.Verdict == Succeeded && !w.group.stillLeads(p.at):
		return unknown("the lease for the primary's term ended before it answered")
	}
	w.group.runner.Metrics.WritesAcked.Add(1)
	return answered(reply)
}

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
		p.release(err == nil && reply.State == 'I' && reply.Verdict != NotPrepared)
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
	if err != nil || reply.Verdict != Succeeded {
		return reply, err
	}
	return p.run(w, session.Position{})
}

// usable reports whether the answer to a read may be given out; if not, nothing is known of the
// read and it may be tried again.
func (w *work) usable(p *place, reply Reply, err error) bool {
	if err != nil || reply.Verdict != Succeeded && reply.Verdict != RanAndFailed {
		if err == nil && p.onPrimary && reply.Verdict == ReadOnly {
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
		job.Objective = w.began.Add(time.Duration(w.database.LatencyMilliseconds) * time.Millisecond)
	}
	at, leads := g.leads()
	if job.Primary && !leads {
		return nil, elsewhere("this entry VM has no lease on the primary")
	}
	if job.Primary && g.doubtful() {
		return nil, elsewhere("the primary does not answer this entry VM")
	}
	t := g.turn(job)
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
	if err != nil {
		return reply, err
	}
	p.link.state = p.link.state.Apply(steps)
	if p.onPrimary && reply.Verdict != ReadOnly && p.group.stillLeads(p.at) {
		p.group.learn(p.at, p.asked, reply.Position)
	}
	return reply, nil
}

// repeatable reports whether another server may be asked when one is late.
func (w *work) repeatable() bool {
	q := w.request
	return q.GetKind() == wire.StatementKind_STATEMENT_KIND_READ && (q.GetUnit() == "" || q.GetBegins() && q.GetReadsOnly())
}

// noteReply takes note of whether the server answered; one that says that it does not lead is
// no good as a primary.
func (p *place) noteReply(reply Reply, err error) {
	p.answered = err == nil
	p.took = 0
	if err != nil {
		return
	}
	if reply.Verdict == Succeeded || reply.Verdict == RanAndFailed {
		p.took = clock.Now().Sub(p.asked)
	}
	if p.onPrimary && reply.Verdict != ReadOnly {
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

func answered(r Reply) *wire.StatementAnswer {
	return &wire.StatementAnswer{
		Disposition: wire.Disposition_DISPOSITION_ANSWERED, Rows: r.Rows, Signature: r.Signature,
		Code: r.Code, Message: r.Message, State: string(rune(r.State)), Position: r.Position.Wire(),
	}
}

func elsewhere(reason string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: reason}
}

func unknown(reason string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_UNKNOWN, Reason: reason}
}

func rolledBack(reason string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ROLLED_BACK, Reason: reason}
}

func refusal(r *dispatch.Refusal) *wire.StatementAnswer {
	if r.Reason == dispatch.NoServer {
		return elsewhere("no server of the group may run it now")
	}
	reason := map[dispatch.Reason]string{
		dispatch.TooLate: "its turn would come after its time", dispatch.Full: "too much waits for the group",
	}[r.Reason]
	return &wire.StatementAnswer{
		Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: reason,
		RetryMilliseconds: uint32(max(r.Wait, 2*busyPause).Milliseconds()),
	}
}
