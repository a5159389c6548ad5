package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"trefoilcourse/coord/capacity"
	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/health"
	"trefoilcourse/coord/retry"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

// idleTransactionGrace is how long open transactions may delay a change of the primary, while
// callers wait. After it, idle transactions are rolled back; after twice as long, the term is released even
// if statements still run.
const idleTransactionGrace = 600 * time.Millisecond

// group is one announced group that this VM owns.
type group struct {
	runner *Runner
	name   string

	mu      sync.Mutex
	queue   dispatch.Queue
	pools   map[string]*pool
	waiters map[uint64]chan assignment
	nextID  uint64
	primary string
	term    uint64
	// primaryPositions records the positions that primaries reported over time.
	primaryPositions route.PositionHistory
	health           health.FailureDetector
	// primaryInFlight counts the statements and open transactions on the primary.
	primaryInFlight int
	closingSince    time.Time
	// learning holds the estimates of the servers' capacity, if the group has learned-concurrency.
	learning learning
	// lastLoadReport is when the load was last logged, for rate limiting.
	lastLoadReport time.Time
	probing        bool
	replicas       map[string]*replica
	retryBudget    retry.Budget
	// trackedReads are reads that are retried on another server if theirs stops answering.
	trackedReads map[*placement]bool
	// hadLease is set once this VM has had the lease of the term; before that, the primary may not
	// lead yet.
	hadLease bool
	// lastAllLagging is when a read last found every replica lagging too far; lastReplicaRead is
	// when a replica last ran one.
	lastAllLagging, lastReplicaRead time.Time
}

// assignment tells a waiting statement which server runs it, or why none does.
type assignment struct {
	slot    string
	refused *dispatch.Refusal
}

func newGroup(r *Runner, name string) *group {
	g := &group{
		runner: r, name: name, pools: map[string]*pool{}, waiters: map[uint64]chan assignment{},
		replicas: map[string]*replica{}, trackedReads: map[*placement]bool{}, lastReplicaRead: clock.Now(),
	}
	g.queue.FailureDomain, g.queue.Regions = r.FailureDomain, r.Regions
	g.queue.Connected = g.connected
	return g
}

// maintain applies changes of the lease and the directory, and reports whether the group can be
// removed.
func (g *group) maintain() bool {
	connectionLimit := g.runner.View.Connections(g.name)
	if !g.runner.View.Leased(g.name) {
		g.close()
		return true
	}
	g.applyState(g.runner.View.Group(g.name), connectionLimit)
	g.resetHealthOnLease()
	g.releaseClosingTerm()
	g.updateHealth()
	g.probe()
	g.interruptSilentReads()
	g.mu.Lock()
	started, refused := g.queue.Tick(clock.Now())
	g.notifyWaiters(started, refused)
	report := g.learningReport(clock.Now())
	g.mu.Unlock()
	if report != "" {
		g.runner.Log.WithFields(map[string]any{"group": g.name, "servers": report}).Info("learned concurrency changed")
	}
	return connectionLimit == 0 && g.inFlight() == 0 && g.openConnections() == 0
}

// applyState updates servers, pools and the term to the state sent by the control leader.
func (g *group) applyState(state *wire.GroupState, connectionLimit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state.GetTerm() != g.term || state.GetPrimarySlot() != g.primary {
		g.term, g.primary = state.GetTerm(), state.GetPrimarySlot()
		// primaryPositions is kept: the earlier primary's positions still bound the age of a
		// replica's data.
		g.health = health.FailureDetector{}
		g.hadLease = false
		g.closingSince = time.Time{}
	}
	if !state.GetClosing() {
		if !g.closingSince.IsZero() {
			// The change of primary was cancelled; the term may be granted again.
			g.runner.View.Restore(g.name)
		}
		g.closingSince = time.Time{}
	} else if g.closingSince.IsZero() {
		g.closingSince = clock.Now()
	}
	var servers []dispatch.Server
	known := map[string]bool{}
	for _, s := range state.GetServers() {
		target := Target{Group: g.name, Slot: s.GetSlot(), Address: s.GetAddress()}
		known[s.GetSlot()] = true
		if p := g.pools[s.GetSlot()]; p == nil || p.target != target {
			if p != nil {
				go p.close()
			}
			g.pools[s.GetSlot()] = newPool(target)
		}
		g.pools[s.GetSlot()].maintain(connectionLimit)
		isPrimary := s.GetSlot() == g.primary
		servers = append(servers, dispatch.Server{
			Slot: s.GetSlot(), FailureDomain: s.GetFailureDomain(), Limit: int(s.GetConcurrency()),
			Primary: isPrimary, Leaving: s.GetLeaving() && !isPrimary || isPrimary && state.GetClosing(),
		})
	}
	for slot, p := range g.pools {
		if !known[slot] {
			go p.close()
			delete(g.pools, slot)
			delete(g.replicas, slot)
		}
	}
	if g.runner.RoomForUrgentWork {
		g.queue.Owners = len(state.GetOwners())
	}
	g.queue.SetServers(servers)
	g.applyLearning(state)
	g.health.Announced = known[g.primary]
}

// connected reports whether a workspace has an idle connection to a server; mu is held.
func (g *group) connected(slot, workspace string) bool {
	p := g.pools[slot]
	return p != nil && p.hasIdle(workspace)
}

// resetHealthOnLease starts health checks of the primary at the first lease of its term.
func (g *group) resetHealthOnLease() {
	leased := g.hasLease()
	g.mu.Lock()
	defer g.mu.Unlock()
	if leased && !g.hadLease {
		g.hadLease = true
		g.health = health.FailureDetector{Announced: g.health.Announced}
	}
}

// releaseClosingTerm releases the term of a leaving primary once nothing is in flight or twice
// idleTransactionGrace has passed.
func (g *group) releaseClosingTerm() {
	g.mu.Lock()
	since, inFlight, term := g.closingSince, g.primaryInFlight, g.term
	g.mu.Unlock()
	if since.IsZero() {
		return
	}
	waited := clock.Now().Sub(since)
	if inFlight > 0 && waited < idleTransactionGrace {
		return
	}
	if inFlight > 0 && waited < 2*idleTransactionGrace {
		g.runner.endInactiveTransactions(g, g.primary)
		return
	}
	if g.runner.View.AckTerm(g.name) == term {
		g.runner.View.Release(g.name, term)
		g.runner.Log.WithFields(map[string]any{
			"group": g.name, "term": term, "under-way": inFlight, "waited-ms": waited.Milliseconds(),
		}).Info("released the term of a leaving primary")
		g.runner.RequestRenewal()
	}
}

func (g *group) closing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closingSince.IsZero()
}

// updateHealth decides whether the primary is usable. Once it is reported unusable, this VM
// acknowledges no more writes of its term, so that the successor need not wait for the lease to
// expire.
func (g *group) updateHealth() {
	g.mu.Lock()
	term := g.term
	if !g.hadLease {
		g.mu.Unlock()
		return
	}
	usable, changed := g.health.Evaluate(clock.Now())
	g.mu.Unlock()
	if !changed {
		return
	}
	if usable {
		g.runner.View.Restore(g.name)
	} else {
		g.runner.View.Release(g.name, term)
	}
	g.runner.Log.WithFields(map[string]any{"group": g.name, "term": term, "primary": g.primary, "usable": usable}).Info("primary health changed")
	g.runner.RequestRenewal()
}

// report returns the holding and the primary's health for the control leader.
func (g *group) report() (*wire.Holding, *wire.Observation) {
	connectionLimit := g.runner.View.Connections(g.name)
	holding := &wire.Holding{
		Group: g.name, Connections: uint32(max(g.openConnections(), connectionLimit)), Demand: uint32(g.inFlight()),
		Term: g.runner.View.AckTerm(g.name),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hadLease {
		return holding, nil
	}
	primaryHealth := wire.PrimaryHealth_PRIMARY_HEALTH_GOOD
	switch {
	case g.health.Unusable():
		// The control leader treats an unusable primary as unreachable.
		primaryHealth = wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE
	case g.overloaded(clock.Now()):
		primaryHealth = wire.PrimaryHealth_PRIMARY_HEALTH_OVERLOADED
	}
	return holding, &wire.Observation{Group: g.name, Term: g.term, Health: primaryHealth}
}

// openConnections returns the largest number of open connections to any one server.
func (g *group) openConnections() int {
	g.mu.Lock()
	pools := make([]*pool, 0, len(g.pools))
	for _, p := range g.pools {
		pools = append(pools, p)
	}
	g.mu.Unlock()
	largest := 0
	for _, p := range pools {
		largest = max(largest, p.openConnections())
	}
	return largest
}

// inFlight returns the number of running and queued statements.
func (g *group) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := g.queue.Waiting()
	for slot := range g.pools {
		running += g.queue.Running(slot)
	}
	return running
}

func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		go p.close()
	}
	g.pools = map[string]*pool{}
	g.queue.SetServers(nil)
	started, refused := g.queue.Tick(clock.Now())
	g.notifyWaiters(started, refused)
}

// notifyWaiters sends each started or refused statement its assignment; mu is held.
func (g *group) notifyWaiters(started []dispatch.Assignment, refused []dispatch.Refusal) {
	for _, s := range started {
		g.waiters[s.JobID] <- assignment{slot: s.Slot}
		delete(g.waiters, s.JobID)
	}
	for i := range refused {
		g.waiters[refused[i].JobID] <- assignment{refused: &refused[i]}
		delete(g.waiters, refused[i].JobID)
	}
}

// awaitServer queues the job and waits until a server may run it or it is refused. A job whose ctx is canceled
// leaves the queue at once; one whose time ends is refused by the queue.
func (g *group) awaitServer(ctx context.Context, j dispatch.Job) assignment {
	g.mu.Lock()
	g.nextID++
	j.ID = g.nextID
	waiter := make(chan assignment, 1)
	g.waiters[j.ID] = waiter
	started, refused := g.queue.Submit(clock.Now(), j)
	g.notifyWaiters(started, refused)
	report := g.loadReport(refused)
	g.mu.Unlock()
	if report != "" {
		g.runner.Log.WithFields(map[string]any{"group": g.name, "term": g.term, "loads": report}).Info("queue refused a statement")
	}
	select {
	case a := <-waiter:
		return a
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		g.mu.Lock()
		g.notifyWaiters(nil, g.queue.Cancel(j.ID))
		g.mu.Unlock()
	}
	return <-waiter
}

// loadReport describes the queue after a refusal, at most once a second; mu is held.
func (g *group) loadReport(refused []dispatch.Refusal) string {
	now := clock.Now()
	if len(refused) == 0 || now.Sub(g.lastLoadReport) < time.Second {
		return ""
	}
	g.lastLoadReport = now
	text := fmt.Sprintf("waiting %d, predicted %v", g.queue.Waiting(), refused[0].RetryAfter)
	for _, l := range g.queue.Loads() {
		text += fmt.Sprintf("; %s primary %t running %d of %d, %v each", l.Slot, l.Primary, l.Running, l.Limit, l.ServiceTime)
		if r := g.replicas[l.Slot]; r != nil && !l.Primary {
			text += fmt.Sprintf(", at %v %v ago, behind %v", r.Replayed, now.Sub(r.ReportedAt), r.Lag)
		}
	}
	latest, sentAt := g.primaryPositions.Latest()
	text += fmt.Sprintf("; seen %v %v ago", latest, now.Sub(sentAt))
	return text
}

// serverDone records the end of a statement, which releases the server's capacity for the next
// queued statement.
func (g *group) serverDone(slot string, kind capacity.Kind, took time.Duration, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.learning.estimator; e != nil && answered {
		e.Record(clock.Now(), slot, kind, took)
	}
	started, refused := g.queue.DoneKind(clock.Now(), slot, kind, took, answered)
	g.notifyWaiters(started, refused)
}

// leadership is the term and primary of the group as known at one moment.
type leadership struct {
	term    uint64
	primary string
}

// currentLeadership returns the current term and primary, and whether this VM holds the lease for
// the term.
func (g *group) currentLeadership() (leadership, bool) {
	g.mu.Lock()
	observed := leadership{g.term, g.primary}
	g.mu.Unlock()
	return observed, observed.term != 0 && g.runner.View.AckTerm(g.name) == observed.term
}

func (g *group) hasLease() bool {
	_, ok := g.currentLeadership()
	return ok
}

// stillHasLease reports whether the lease that a statement started under is still valid.
func (g *group) stillHasLease(observed leadership) bool {
	now, ok := g.currentLeadership()
	return ok && now == observed
}

// recordPosition records a position that the primary reported in answer to a request sent at sentAt.
func (g *group) recordPosition(observed leadership, sentAt time.Time, p session.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term == observed.term {
		g.primaryPositions.Record(sentAt, p)
	}
}

// floor returns the position that a replica must have replayed for a read received at receivedAt;
// false means that only the primary is known to be fresh enough.
func (g *group) floor(receivedAt time.Time, staleness time.Duration, sessionFloor session.Position) (session.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.primaryPositions.FloorAt(receivedAt.Add(-staleness))
	if !ok || sessionFloor.Term > p.Term {
		return session.Position{}, false
	}
	// Writes of an earlier term that this term's primary lacks are lost; all others are at or
	// below any position of this term.
	if sessionFloor.Term == p.Term && p.Less(sessionFloor) {
		p = sessionFloor
	}
	return p, true
}

func (g *group) pool(slot string) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[slot]
}
