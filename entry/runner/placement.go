package runner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"trefoilcourse/coord/capacity"
	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
	"trefoilcourse/wire"
)

// unreadable is why an answer that cannot be read is counted.
const unreadable correlate.Doubt = "unreadable"

// placement is a statement's assignment to a server, with a connection to it.
type placement struct {
	group     *group
	slot      string
	onPrimary bool
	observed  leadership
	conn      *serverConn
	pool      *pool
	sentAt    time.Time
	// answered says that the server has answered, and failed that the connection can no longer be used.
	answered, failed bool
	// serviceTime is how long the server took for the last statement; 0 if it did not run it.
	serviceTime time.Duration
	// kind is the kind of the last statement.
	kind capacity.Kind
	// running is set while the placement counts against the server's concurrency limit.
	running bool
	// interruptPending is set while a started Interrupt may still reach the connection, so it
	// cannot be reused.
	interruptPending bool
}

// place waits for a server and a connection; the answer gives the reason if there is none.
func (w *workItem) place(ctx context.Context, job dispatch.Job) (*placement, *wire.StatementAnswer) {
	g := w.group
	job = w.complete(job)
	observed, hasLease := g.currentLeadership()
	if reason := g.primaryUnusable(job, hasLease); reason != "" {
		return nil, retryElsewhere(reason)
	}
	arrived := clock.Now()
	assigned := g.awaitServer(ctx, job)
	defer func() { w.waitMicros.Add(clock.Now().Sub(arrived).Microseconds()) }()
	if assigned.refused != nil {
		return nil, g.refusal(job, assigned.refused)
	}
	p := &placement{group: g, slot: assigned.slot, observed: observed, onPrimary: assigned.slot == observed.primary, running: true, sentAt: clock.Now(), kind: w.kind()}
	if job.PrimaryOnly && !p.onPrimary {
		g.serverDone(assigned.slot, job.Kind(), 0, true)
		return nil, retryElsewhere("the primary changed while the statement waited")
	}
	if p.onPrimary && !g.enterPrimary(observed) {
		g.serverDone(assigned.slot, job.Kind(), 0, true)
		return nil, retryElsewhere("the lease on the primary ended while the statement waited")
	}
	p.pool = g.pool(assigned.slot)
	if p.pool == nil {
		p.releaseCapacity(false)
		return nil, retryElsewhere("the server is gone")
	}
	conn, evicted, err := p.pool.get(ctx, g.runner.Connector, urgency{job.Priority, job.TargetLatency}, w.request.GetWorkspace(), w.values)
	g.countEviction(evicted)
	p.conn = conn
	if err != nil {
		p.recordConnectError(err)
		p.releaseCapacity(false)
		return nil, retryElsewhere("no connection to the server: " + err.Error())
	}
	if p.conn.unused {
		g.runner.Metrics.BackendConnects.Add(1)
	}
	if !w.start() {
		p.answered = true
		p.release(true)
		return nil, retryElsewhere("what this entry VM held of the workspace's usage cap has ended")
	}
	return p, nil
}

// complete returns a job with what the statement and its database say.
func (w *workItem) complete(job dispatch.Job) dispatch.Job {
	job.Priority = w.database.Priority
	job.Workspace = w.request.GetWorkspace()
	job.Deadline = w.deadline
	if w.database.LatencyMilliseconds > 0 {
		job.TargetLatency = time.Duration(w.database.LatencyMilliseconds) * time.Millisecond
		job.SoftDeadline = w.receivedAt.Add(job.TargetLatency)
	}
	job.Writes = w.kind().Writes
	return job
}

// primaryUnusable returns why a job that needs the primary cannot run here, or nothing.
func (g *group) primaryUnusable(job dispatch.Job, hasLease bool) string {
	switch {
	case !job.PrimaryOnly:
	case !hasLease:
		return "this entry VM has no lease on the primary"
	case g.primaryUnresponsive():
		return "the primary does not answer this entry VM"
	}
	return ""
}

// countEviction counts a connection that was closed to open one for another workspace.
func (g *group) countEviction(evicted bool) {
	if evicted {
		g.runner.Metrics.PoolEvictions.Add(1)
	}
}

// recordConnectError records a refused connection (the VM is up, its server is not) or an
// unanswered one.
func (p *placement) recordConnectError(err error) {
	if !p.onPrimary || errors.Is(err, errNoConnection) {
		return
	}
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	now := clock.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.group.health.RecordRefusal(now)
	} else {
		p.group.health.RecordRequest(p.sentAt)
	}
}

// run applies the session's settings to the connection and runs the statement.
func (p *placement) run(w *workItem, floor session.Position) (Reply, error) {
	q := w.request
	steps := setup.Plan(p.conn.state, w.values, q.GetDefinition())
	p.sentAt = clock.Now()
	p.answered, p.failed = false, false
	p.kind = w.kind()
	if p.onPrimary {
		p.group.recordRequest(p.sentAt)
	}
	if w.canRetry() {
		p.group.trackRead(p)
		defer p.group.untrackRead(p)
	}
	reply, err := p.conn.Run(w.ioDeadline(), steps, Query{
		ID: q.GetId(), Text: q.GetText(), Definition: q.GetDefinition(), Floor: floor, Holding: w.holding,
	})
	p.recordReply(reply, err)
	p.logDoubt(q.GetId(), reply, err)
	w.runMicros.Add(clock.Now().Sub(p.sentAt).Microseconds())
	if err != nil {
		return reply, err
	}
	p.conn.state = p.conn.state.Apply(steps)
	if p.onPrimary && reply.Result != ReadOnly && p.group.stillHasLease(p.observed) {
		p.group.recordPosition(p.observed, p.sentAt, reply.Position)
	}
	return reply, nil
}

// recordReply records whether the server answered. A ReadOnly reply does not count as an answer
// of the primary, because the server does not lead. An answer that cannot be read does: what is wrong with it is
// no reason to replace the server.
func (p *placement) recordReply(reply Reply, err error) {
	p.answered, p.failed = hasAnswered(err), err != nil
	p.serviceTime = 0
	if err != nil {
		if p.onPrimary && p.answered {
			p.group.recordResponse(p.sentAt)
		}
		return
	}
	if reply.Result == Succeeded || reply.Result == ExecutionFailed {
		p.serviceTime = clock.Now().Sub(p.sentAt)
	}
	if p.onPrimary && reply.Result != ReadOnly {
		p.group.recordResponse(p.sentAt)
	}
	p.group.recordReplicaPosition(p.slot, p.sentAt, reply, p.onPrimary)
}

// logDoubt counts and logs answers that cannot be read or may belong to an earlier statement.
func (p *placement) logDoubt(request string, reply Reply, err error) {
	if errors.Is(err, ErrUnreadable) {
		reply.Doubt = unreadable
	}
	if reply.Doubt == correlate.NoDoubt {
		return
	}
	r := p.group.runner
	r.Metrics.DoubtfulAnswers.Add(string(reply.Doubt), 1)
	r.Metrics.SkippedAnswers.Add(int64(reply.Skipped))
	if suppressed, ok := r.doubtLogs.Allow(clock.Now()); ok {
		r.Log.WithFields(map[string]any{
			"request": request, "group": p.group.name, "server": p.slot, "doubt": reply.Doubt, "skipped": reply.Skipped, "lost": err != nil,
			"connection-age-ms": clock.Now().Sub(p.conn.openedAt).Milliseconds(), "not-logged-before": suppressed,
		}).Info("answer of a server cannot be read or may belong to an earlier statement")
	}
}

// recordNotPrimary records that the primary replied that it does not lead.
func (p *placement) recordNotPrimary() {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	p.group.health.RecordRefusal(clock.Now())
}

// release returns the connection to the pool, or closes it, and releases the server's capacity.
func (p *placement) release(clean bool) {
	p.pool.put(p.conn, clean && !p.interruptPending)
	if !p.answered {
		p.pool.closeIdle()
	}
	p.releaseCapacity(p.answered)
}

// releaseCapacity releases the server's capacity and, on the primary, the count of work in flight.
func (p *placement) releaseCapacity(answered bool) {
	if p.running {
		p.running = false
		p.group.serverDone(p.slot, p.kind, p.serviceTime, answered)
	}
	if p.onPrimary {
		p.group.leavePrimary()
	}
}

// releaseCapacityKeepConn releases the server's capacity for other statements, while the
// transaction keeps its connection.
func (p *placement) releaseCapacityKeepConn() {
	p.running = false
	p.group.serverDone(p.slot, p.kind, p.serviceTime, p.answered)
}
