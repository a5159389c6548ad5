package runner

import (
	"slices"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
)

const (
	// silenceLimit is how long a server may answer nothing to anybody before reads on it are
	// tried elsewhere; a slow server that answers others is waited for, since what it was asked
	// goes on occupying it.
	silenceLimit = 400 * time.Millisecond
	// minReportLife and maxReportLife bound how long a replica's position is believed before a
	// read finds it out anew: the further behind it was, the longer.
	minReportLife = 100 * time.Millisecond
	maxReportLife = time.Second
	reportDivisor = 4
	// oldLag stands for a position that is older than all that is remembered of the primary.
	oldLag = time.Minute
	// aloneLimit is how long no replica may have run a read before the primary counts as alone: a
	// lag of the usual kind is over within it.
	aloneLimit = time.Second
	// soon is a wait that a read may be expected to have behind it when it reaches the server.
	soon = 3 * time.Millisecond
)

// replica is what is known of a server's log and answers.
type replica struct {
	route.Server
	answered time.Time
}

// noteReply takes note of what a server showed of its log in an answer.
func (g *group) noteReply(slot string, asked time.Time, reply Reply, onPrimary bool) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[slot]
	if r == nil {
		r = &replica{Server: route.Server{Slot: slot}}
		g.replicas[slot] = r
	}
	r.answered = now
	if onPrimary {
		return
	}
	if reply.Result == Succeeded {
		g.served = now
	}
	r.Replayed, r.Reported = reply.Position, now
	r.Lag = oldLag
	if age, ok := g.seen.Age(asked, reply.Position); ok {
		r.Lag = max(0, age)
	}
}

// behind returns the replicas that are not expected to have a position by now.
func (g *group) behind(floor session.Position) []string {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var slots []string
	for slot, r := range g.replicas {
		fresh := slot != g.primary && now.Sub(r.Reported) <= min(maxReportLife, max(minReportLife, r.Lag/reportDivisor))
		if fresh && route.Predict(now, &g.seen, r.Server, floor) > soon {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	if len(slots) > 0 && len(slots) == len(g.pools)-1 {
		g.wanted = now
	}
	return slots
}

// overloaded reports whether the primary has more to do than it can, and reads that replicas
// could take off it if they were not too far behind; mu is held.
func (g *group) overloaded(now time.Time) bool {
	return now.Sub(g.wanted) < aloneLimit && now.Sub(g.served) >= aloneLimit && g.queue.Starving(now)
}

// watch has a read interrupted when its server falls silent.
func (g *group) watch(p *place) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watched[p] = true
}

func (g *group) unwatch(p *place) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.watched, p)
}

// interruptSilent ends the reads on servers that have answered nobody for long.
func (g *group) interruptSilent() {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for p := range g.watched {
		r := g.replicas[p.slot]
		quiet := r == nil || now.Sub(r.answered) >= silenceLimit
		if quiet && now.Sub(p.asked) >= silenceLimit {
			p.link.Interrupt()
			delete(g.watched, p)
		}
	}
}

// service returns the time that a server usually takes.
func (g *group) service(slot string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Service(slot)
}

// spend counts a read, or reports whether a second attempt of one is within the group's budget.
func (g *group) spend(again bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if again {
		return g.budget.Take()
	}
	g.budget.Request()
	return true
}
