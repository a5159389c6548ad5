package runner

import (
	"slices"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
)

const (
	// silenceTimeout is how long a server may answer no request at all before its reads are
	// retried elsewhere. A slow server that still answers others is waited for, because an
	// abandoned request goes on occupying it.
	silenceTimeout = 400 * time.Millisecond
	// minPositionTTL and maxPositionTTL bound how long a replica's last known position is used
	// before a read checks it again; the TTL grows with the replica's lag.
	minPositionTTL     = 100 * time.Millisecond
	maxPositionTTL     = time.Second
	positionTTLDivisor = 4
	// unknownLag is the lag assumed for a position older than all recorded positions of the
	// primary.
	unknownLag = time.Minute
	// overloadWindow is how long no replica must have run a read before the primary counts as
	// serving alone; ordinary lag ends within it.
	overloadWindow = time.Second
	// catchUpAllowance is a predicted replay delay that is ignored, as it passes before the read
	// reaches the server.
	catchUpAllowance = 3 * time.Millisecond
)

// replica is what is known of a server's log position and its last answer.
type replica struct {
	route.Server
	lastAnswer time.Time
}

// recordReplicaPosition records a server's answer and the log position in it.
func (g *group) recordReplicaPosition(slot string, sentAt time.Time, reply Reply, onPrimary bool) {
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
	r.Replayed, r.ReportedAt = reply.Position, now
	r.Lag = unknownLag
	if age, ok := g.primaryPositions.Age(sentAt, reply.Position); ok {
		r.Lag = max(0, age)
	}
}

// laggingReplicas returns the replicas that are not expected to have replayed up to the floor by
// now, and whether these are all replicas; it changes nothing.
func (g *group) laggingReplicas(now time.Time, floor session.Position) (slots []string, all bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for slot, r := range g.replicas {
		if slot != g.primary && r.current(now) && route.PredictWait(now, &g.primaryPositions, r.Server, floor) > catchUpAllowance {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	return slots, len(slots) > 0 && len(slots) == len(g.pools)-1
}

// current reports whether the last known position is recent enough to leave the replica out.
func (r *replica) current(now time.Time) bool {
	return now.Sub(r.ReportedAt) <= min(maxPositionTTL, max(minPositionTTL, r.Lag/positionTTLDivisor))
}

// recordAllLagging records that a read found every replica lagging too far.
func (g *group) recordAllLagging(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAllLagging = now
}

// overloaded reports whether the primary has more work than it can do, including reads that
// replicas could take over if they did not lag too far; mu is held.
func (g *group) overloaded(now time.Time) bool {
	return now.Sub(g.lastAllLagging) < overloadWindow && now.Sub(g.lastReplicaRead) >= overloadWindow && g.queue.PrimaryOverloaded(now)
}

// trackRead registers a read to be interrupted when its server stops answering.
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

// interruptSilentReads interrupts tracked reads on servers that have answered nothing for
// silenceTimeout.
func (g *group) interruptSilentReads() {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for p := range g.trackedReads {
		r := g.replicas[p.slot]
		silent := r == nil || now.Sub(r.lastAnswer) >= silenceTimeout
		if silent && now.Sub(p.sentAt) >= silenceTimeout {
			p.conn.Interrupt()
			delete(g.trackedReads, p)
		}
	}
}

// serviceTime returns a server's usual time for a statement.
func (g *group) serviceTime(slot string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ServiceTime(slot)
}

// chargeRetryBudget counts a read, or, for a retry, reports whether the group's budget allows it.
func (g *group) chargeRetryBudget(retry bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if retry {
		return g.retryBudget.AllowRetry()
	}
	g.retryBudget.RecordRequest()
	return true
}
