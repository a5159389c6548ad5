package runner

import (
	"fmt"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/health"
	"trefoilcourse/coord/retry"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

// closingTimeout is how long transactions may keep a leaving primary; callers wait meanwhile.
const closingTimeout = 600 * time.Millisecond

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
	// primaryPositions are the positions of the primaries by time.
	primaryPositions route.Sightings
	health           health.Primary
	// primaryInFlight counts statements and transactions on the primary.
	primaryInFlight int
	closingSince    time.Time
	// lastLoadReport is when the load was last logged.
	lastLoadReport time.Time
	probing        bool
	replicas       map[string]*replica
	retryBudget    retry.Budget
	// trackedReads are reads that are tried elsewhere if their server falls silent.
	trackedReads map[*placement]bool
	// hadLease says that this VM has had the lease of the term: before, the primary may not lead yet.
	hadLease bool
	// lastAllLagging is when a read last found every replica too far behind, and lastReplicaRead when a replica
	// last ran one.
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
	g.queue.FailureDomain = r.FailureDomain
	return g
}

// maintain follows the lease and the directory, and reports whether the group is done with.
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
	g.mu.Unlock()
	return connectionLimit == 0 && g.inFlight() == 0 && g.openConnections() == 0
}

// applyState brings servers, pools and the term in line with what the control leader says.
func (g *group) applyState(state *wire.GroupState, connectionLimit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state.GetTerm() != g.term || state.GetPrimarySlot() != g.primary {
		g.term, g.primary = state.GetTerm(), state.GetPrimarySlot()
		// What the earlier primary showed still bounds the age of what replicas hold.
		g.health = health.Primary{}
		g.hadLease = false
		g.closingSince = time.Time{}
	}
	if !state.GetClosing() {
		if !g.closingSince.IsZero() {
			// The primary may stay after all; then the term is granted anew.
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
	g.queue.SetServers(servers)
	g.health.Known = known[g.primary]
}

// resetHealthOnLease begins to judge the primary with the first lease of its term.
func (g *group) resetHealthOnLease() {
	leased := g.hasLeaseNow()
	g.mu.Lock()
	defer g.mu.Unlock()
	if leased && !g.hadLease {
		g.hadLease = true
		g.health = health.Primary{Known: g.health.Known}
	}
}

// releaseClosingTerm gives the term up once a leaving primary has nothing under way, or has had its time.
func (g *group) releaseClosingTerm() {
	g.mu.Lock()
	since, inFlight, term := g.closingSince, g.primaryInFlight, g.term
	g.mu.Unlock()
	if since.IsZero() {
		return
	}
	waited := clock.Now().Sub(since)
	if inFlight > 0 && waited < closingTimeout {
		return
	}
	if inFlight > 0 && waited < 2*closingTimeout {
		g.runner.endInactiveTransactions(g, g.primary)
		return
	}
	if g.runner.View.AckTerm(g.name) == term {
		g.runner.View.Release(g.name, term)
		g.runner.Log.WithFields(map[string]any{
			"group": g.name, "term": term, "under-way": inFlight, "waited-ms": waited.Milliseconds(),
		}).Info("gives up a leaving primary")
		g.runner.Poke()
	}
}

func (g *group) closing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closingSince.IsZero()
}

// updateHealth decides what to report about the primary. A primary that is reported gets no more
// acknowledgements from this VM, so that its successor need not wait for the lease.
func (g *group) updateHealth() {
	g.mu.Lock()
	term := g.term
	if !g.hadLease {
		g.mu.Unlock()
		return
	}
	usable, changed := g.health.Judge(clock.Now())
	g.mu.Unlock()
	if !changed {
		return
	}
	if usable {
		g.runner.View.Restore(g.name)
	} else {
		g.runner.View.Release(g.name, term)
	}
	g.runner.Log.WithFields(map[string]any{"group": g.name, "term": term, "primary": g.primary, "usable": usable}).Info("finding about the primary changes")
	g.runner.Poke()
}

// report tells the control leader what is held and found.
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
	found := wire.PrimaryHealth_PRIMARY_HEALTH_GOOD
	switch {
	case g.health.Unusable():
		found = wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE
	case g.overloaded(clock.Now()):
		found = wire.PrimaryHealth_PRIMARY_HEALTH_OVERLOADED
	}
	return holding, &wire.Observation{Group: g.name, Term: g.term, Health: found}
}

// openConnections returns the most connections that are open to one server.
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

// inFlight returns the number of statements that run or wait.
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

// notifyWaiters wakes the statements whose turn has come or never will; mu is held.
func (g *group) notifyWaiters(started []dispatch.Start, refused []dispatch.Refusal) {
	for _, s := range started {
		g.waiters[s.Job] <- assignment{slot: s.Slot}
		delete(g.waiters, s.Job)
	}
	for i := range refused {
		g.waiters[refused[i].Job] <- assignment{refused: &refused[i]}
		delete(g.waiters, refused[i].Job)
	}
}

// awaitServer waits until a server may run the job.
func (g *group) awaitServer(j dispatch.Job) assignment {
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
		g.runner.Log.WithFields(map[string]any{"group": g.name, "term": g.term, "loads": report}).Info("work is refused")
	}
	return <-waiter
}

// loadReport describes the queue when something is refused, at most once a second; mu is held.
func (g *group) loadReport(refused []dispatch.Refusal) string {
	now := clock.Now()
	if len(refused) == 0 || now.Sub(g.lastLoadReport) < time.Second {
		return ""
	}
	g.lastLoadReport = now
	text := fmt.Sprintf("waiting %d, predicted %v", g.queue.Waiting(), refused[0].Wait)
	for _, l := range g.queue.Loads() {
		text += fmt.Sprintf("; %s primary %t running %d of %d, %v each", l.Slot, l.Primary, l.Running, l.Limit, l.Service)
		if r := g.replicas[l.Slot]; r != nil && !l.Primary {
			text += fmt.Sprintf(", at %v %v ago, behind %v", r.Replayed, now.Sub(r.Reported), r.Lag)
		}
	}
	latest, sentAt := g.primaryPositions.Latest()
	text += fmt.Sprintf("; seen %v %v ago", latest, now.Sub(sentAt))
	return text
}

// finish gives a server's place to the next.
func (g *group) finish(slot string, took time.Duration, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	started, refused := g.queue.Done(clock.Now(), slot, took, answered)
	g.notifyWaiters(started, refused)
}

// leadership is what the group is believed to be in at a moment.
type leadership struct {
	term    uint64
	primary string
}

// hasLease returns the term that this VM may act in, and the primary of it; false means that it
// may not.
func (g *group) hasLease() (leadership, bool) {
	g.mu.Lock()
	observed := leadership{g.term, g.primary}
	g.mu.Unlock()
	return observed, observed.term != 0 && g.runner.View.AckTerm(g.name) == observed.term
}

func (g *group) hasLeaseNow() bool {
	_, ok := g.hasLease()
	return ok
}

// stillHasLease reports whether the lease that a statement began under still runs.
func (g *group) stillHasLease(observed leadership) bool {
	now, ok := g.hasLease()
	return ok && now == observed
}

// recordPosition takes note of a position that the primary had when it was asked.
func (g *group) recordPosition(observed leadership, sentAt time.Time, p session.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term == observed.term {
		g.primaryPositions.Record(sentAt, p)
	}
}

// floor returns the position that a replica's log must have for a read that began at a time;
// false means that only the primary is known to be fresh enough.
func (g *group) floor(receivedAt time.Time, staleness time.Duration, sessionFloor session.Position) (session.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.primaryPositions.FloorAt(receivedAt.Add(-staleness))
	if !ok || sessionFloor.Term > p.Term {
		return session.Position{}, false
	}
	// What an earlier term's primary acknowledged and this one's lacks is lost; the rest is at or
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
