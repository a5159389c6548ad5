package runner

import (
	"slices"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
)

const (
	// silenceTimeout is how long a server may answer nothing to anybody before reads on it are
	// tried elsewhere; a slow server that answers others is waited for, since what it was asked
	// goes on occupying it.
	silenceTimeout = 400 * time.Millisecond
	// minPositionTTL and maxReportLife bound how long a replica's position is believed before a
	// read finds it out anew: the further behind it was, the longer.
	minPositionTTL     = 100 * time.Millisecond
	maxPositionTTL     = time.Second
	positionTTLDivisor = 4
	// unknownLag stands for a position that is older than all that is remembered of the primary.
	unknownLag = time.Minute
	// overloadWindow is how long no replica may have run a read before the primary counts as alone: a
	// lag of the usual kind is over within it.
	overloadWindow = time.Second
	// catchUpAllowance is a wait that a read may be expected to have behind it when it reaches the server.
	catchUpAllowance = 3 * time.Millisecond
)

// replica is what is known of a server's log and answers.
type replica struct {
	route.Server
	lastAnswer time.Time
}

// recordReply takes note of what a server showed of its log in an answer.
func (g *group) recordReply(slot string, sentAt time.Time, reply Reply, onPrimary bool) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[slot]
	if r == nil {
		r = &replica{Server: route.Server{Slot: slot}}
		g.replicas[slot] = r
	}
	r.lastAnswer = now
	if onPrimary {
		return
	}
	if reply.Result == Succeeded {
		g.lastReplicaRead = now
	}
	r.Replayed, r.Reported = reply.Position, now
	r.Lag = unknownLag
	if age, ok := g.primaryPositions.Age(sentAt, reply.Position); ok {
		r.Lag = max(0, age)
	}
}

// laggingReplicas returns the replicas that are not expected to have a position by now.
func (g *group) laggingReplicas(floor session.Position) []string {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var slots []string
	for slot, r := range g.replicas {
		current := slot != g.primary && now.Sub(r.Reported) <= min(maxPositionTTL, max(minPositionTTL, r.Lag/positionTTLDivisor))
		if current && route.Predict(now, &g.primaryPositions, r.Server, floor) > catchUpAllowance {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	if len(slots) > 0 && len(slots) == len(g.pools)-1 {
		g.lastAllLagging = now
	}
	return slots
}

// overloaded reports whether the primary has more to do than it can, and reads that replicas
// could take off it if they were not too far behind; mu is held.
func (g *group) overloaded(now time.Time) bool {
	return now.Sub(g.lastAllLagging) < overloadWindow && now.Sub(g.lastReplicaRead) >= overloadWindow && g.queue.Starving(now)
}

// trackRead has a read interrupted when its server falls silent.
func (g *group) trackRead(p *placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trackedReads[p] = true
}

func (g *group) untrackRead(p *placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.trackedReads, p)
}

// interruptSilentReads ends the reads on servers that have answered nobody for long.
func (g *group) interruptSilentReads() {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for p := range g.trackedReads {
		r := g.replicas[p.slot]
		silent := r == nil || now.Sub(r.lastAnswer) >= silenceTimeout
		if silent && now.Sub(p.sentAt) >= silenceTimeout {
			p.serverConn.Interrupt()
			delete(g.trackedReads, p)
		}
	}
}

// serviceTime returns the time that a server usually takes.
func (g *group) serviceTime(slot string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Service(slot)
}

// chargeRetryBudget counts a read, or reports whether a second attempt of one is within the group's budget.
func (g *group) chargeRetryBudget(retry bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if retry {
		return g.retryBudget.Take()
	}
	g.retryBudget.Request()
	return true
}
