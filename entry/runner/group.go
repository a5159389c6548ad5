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

// closingLimit is how long transactions may keep a leaving primary; callers wait meanwhile.
const closingLimit = 600 * time.Millisecond

// group is one announced group that this VM owns.
type group struct {
	runner *Runner
	name   string

	mu      sync.Mutex
	queue   dispatch.Queue
	pools   map[string]*pool
	starts  map[uint64]chan ticket
	nextID  uint64
	primary string
	term    uint64
	// seen are the positions of the primaries by time.
	seen   route.Sightings
	health health.Primary
	// onPrimary counts statements and transactions on the primary.
	onPrimary    int
	closingSince time.Time
	// reported is when the load was last logged.
	reported time.Time
	probing  bool
	replicas map[string]*replica
	budget   retry.Budget
	// watched are reads that are tried elsewhere if their server falls silent.
	watched map[*place]bool
	// active says that this VM has had the lease of the term: before, the primary may not lead yet.
	active bool
	// wanted is when a read last found every replica too far behind, and served when a replica
	// last ran one.
	wanted, served time.Time
}

// ticket tells a waiting statement which server runs it, or why none does.
type ticket struct {
	slot    string
	refused *dispatch.Refusal
}

func newGroup(r *Runner, name string) *group {
	g := &group{
		runner: r, name: name, pools: map[string]*pool{}, starts: map[uint64]chan ticket{},
		replicas: map[string]*replica{}, watched: map[*place]bool{}, served: clock.Now(),
	}
	g.queue.FailureDomain = r.FailureDomain
	return g
}

// tend follows the lease and the directory, and reports whether the group is done with.
func (g *group) tend() bool {
	allowed := g.runner.View.Connections(g.name)
	if !g.runner.View.Leased(g.name) {
		g.close()
		return true
	}
	g.follow(g.runner.View.Group(g.name), allowed)
	g.activate()
	g.handOver()
	g.judge()
	g.probe()
	g.interruptSilent()
	g.mu.Lock()
	started, refused := g.queue.Tick(clock.Now())
	g.deliver(started, refused)
	g.mu.Unlock()
	return allowed == 0 && g.load() == 0 && g.opened() == 0
}

// follow brings servers, pools and the term in line with what the control leader says.
func (g *group) follow(state *wire.GroupState, allowed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state.GetTerm() != g.term || state.GetPrimarySlot() != g.primary {
		g.term, g.primary = state.GetTerm(), state.GetPrimarySlot()
		// What the earlier primary showed still bounds the age of what replicas hold.
		g.health = health.Primary{}
		g.active = false
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
		g.pools[s.GetSlot()].tend(allowed)
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

// activate begins to judge the primary with the first lease of its term.
func (g *group) activate() {
	leads := g.leadsNow()
	g.mu.Lock()
	defer g.mu.Unlock()
	if leads && !g.active {
		g.active = true
		g.health = health.Primary{Known: g.health.Known}
	}
}

// handOver gives the term up once a leaving primary has nothing under way, or has had its time.
func (g *group) handOver() {
	g.mu.Lock()
	since, open, term := g.closingSince, g.onPrimary, g.term
	g.mu.Unlock()
	if since.IsZero() {
		return
	}
	waited := clock.Now().Sub(since)
	if open > 0 && waited < closingLimit {
		return
	}
	if open > 0 && waited < 2*closingLimit {
		g.runner.endQuiet(g, g.primary)
		return
	}
	if g.runner.View.AckTerm(g.name) == term {
		g.runner.View.Release(g.name, term)
		g.runner.Log.WithFields(map[string]any{
			"group": g.name, "term": term, "under-way": open, "waited-ms": waited.Milliseconds(),
		}).Info("gives up a leaving primary")
		g.runner.Poke()
	}
}

func (g *group) closing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closingSince.IsZero()
}

// judge decides what to report about the primary. A primary that is reported gets no more
// acknowledgements from this VM, so that its successor need not wait for the lease.
func (g *group) judge() {
	g.mu.Lock()
	term := g.term
	if !g.active {
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
	allowed := g.runner.View.Connections(g.name)
	holding := &wire.Holding{
		Group: g.name, Connections: uint32(max(g.opened(), allowed)), Demand: uint32(g.load()),
		Term: g.runner.View.AckTerm(g.name),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.active {
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

// opened returns the most connections that are open to one server.
func (g *group) opened() int {
	g.mu.Lock()
	pools := make([]*pool, 0, len(g.pools))
	for _, p := range g.pools {
		pools = append(pools, p)
	}
	g.mu.Unlock()
	most := 0
	for _, p := range pools {
		most = max(most, p.opened())
	}
	return most
}

// load returns the number of statements that run or wait.
func (g *group) load() int {
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
	g.deliver(started, refused)
}

// deliver wakes the statements whose turn has come or never will; mu is held.
func (g *group) deliver(started []dispatch.Start, refused []dispatch.Refusal) {
	for _, s := range started {
		g.starts[s.Job] <- ticket{slot: s.Slot}
		delete(g.starts, s.Job)
	}
	for i := range refused {
		g.starts[refused[i].Job] <- ticket{refused: &refused[i]}
		delete(g.starts, refused[i].Job)
	}
}

// turn waits until a server may run the job.
func (g *group) turn(j dispatch.Job) ticket {
	g.mu.Lock()
	g.nextID++
	j.ID = g.nextID
	waiter := make(chan ticket, 1)
	g.starts[j.ID] = waiter
	started, refused := g.queue.Submit(clock.Now(), j)
	g.deliver(started, refused)
	report := g.pressed(refused)
	g.mu.Unlock()
	if report != "" {
		g.runner.Log.WithFields(map[string]any{"group": g.name, "term": g.term, "loads": report}).Info("work is refused")
	}
	return <-waiter
}

// pressed describes the queue when something is refused, at most once a second; mu is held.
func (g *group) pressed(refused []dispatch.Refusal) string {
	now := clock.Now()
	if len(refused) == 0 || now.Sub(g.reported) < time.Second {
		return ""
	}
	g.reported = now
	text := fmt.Sprintf("waiting %d, predicted %v", g.queue.Waiting(), refused[0].Wait)
	for _, l := range g.queue.Loads() {
		text += fmt.Sprintf("; %s primary %t running %d of %d, %v each", l.Slot, l.Primary, l.Running, l.Limit, l.Service)
		if r := g.replicas[l.Slot]; r != nil && !l.Primary {
			text += fmt.Sprintf(", at %v %v ago, behind %v", r.Replayed, now.Sub(r.Reported), r.Lag)
		}
	}
	latest, asked := g.seen.Latest()
	text += fmt.Sprintf("; seen %v %v ago", latest, now.Sub(asked))
	return text
}

// done gives a server's place to the next.
func (g *group) done(slot string, took time.Duration, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	started, refused := g.queue.Done(clock.Now(), slot, took, answered)
	g.deliver(started, refused)
}

// standing is what the group is believed to be in at a moment.
type standing struct {
	term    uint64
	primary string
}

// leads returns the term that this VM may act in, and the primary of it; false means that it
// may not.
func (g *group) leads() (standing, bool) {
	g.mu.Lock()
	at := standing{g.term, g.primary}
	g.mu.Unlock()
	return at, at.term != 0 && g.runner.View.AckTerm(g.name) == at.term
}

func (g *group) leadsNow() bool {
	_, ok := g.leads()
	return ok
}

// stillLeads reports whether the lease that a statement began under still runs.
func (g *group) stillLeads(at standing) bool {
	now, ok := g.leads()
	return ok && now == at
}

// learn takes note of a position that the primary had when it was asked.
func (g *group) learn(at standing, asked time.Time, p session.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term == at.term {
		g.seen.Record(asked, p)
	}
}

// floor returns the position that a replica's log must have for a read that began at a time;
// false means that only the primary is known to be fresh enough.
func (g *group) floor(began time.Time, staleness time.Duration, own session.Position) (session.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.seen.FloorAt(began.Add(-staleness))
	if !ok || own.Term > p.Term {
		return session.Position{}, false
	}
	// What an earlier term's primary acknowledged and this one's lacks is lost; the rest is at or
	// below any position of this term.
	if own.Term == p.Term && p.Less(own) {
		p = own
	}
	return p, true
}

func (g *group) pool(slot string) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[slot]
}
