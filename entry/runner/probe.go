package runner

import (
	"context"
	"math"
	"time"

	"trefoilcourse/coord/clock"
)

// probeTimeout is longer than the silence after which a primary counts as unusable, so that a
// late answer still counts in its favour.
const probeTimeout = 1500 * time.Millisecond

func (g *group) recordRequest(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.RecordRequest(sentAt)
}

func (g *group) recordResponse(sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.RecordResponse(clock.Now(), sentAt)
}

func (g *group) primaryUnresponsive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health.Unresponsive(clock.Now())
}

// enterPrimary counts a statement or transaction on the primary if the lease still allows it to
// start there.
func (g *group) enterPrimary(observed leadership) bool {
	if !g.stillHasLease(observed) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryInFlight++
	return true
}

func (g *group) leavePrimary() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryInFlight--
}

// probe sends the primary a ping when no recent statement has shown whether it answers. While every
// connection of the share is in use, only statements can show it.
func (g *group) probe() {
	g.mu.Lock()
	p := g.pools[g.primary]
	observed := leadership{g.term, g.primary}
	due := !g.probing && p != nil && p.ready() && g.hadLease && g.health.ProbeDue(clock.Now())
	g.probing = g.probing || due
	g.mu.Unlock()
	if due {
		go g.sendProbe(p, observed)
	}
}

func (g *group) sendProbe(p *pool, observed leadership) {
	defer func() {
		g.mu.Lock()
		g.probing = false
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sentAt := clock.Now()
	g.recordRequest(sentAt)
	probe := &placement{group: g, slot: observed.primary, onPrimary: true, observed: observed, sentAt: sentAt}
	c, evicted, err := p.get(ctx, g.runner.Connector, urgency{priority: math.MinInt}, "", nil)
	g.countEviction(evicted)
	if err != nil {
		probe.recordConnectError(err)
		return
	}
	reply, err := c.Ping(time.Now().Add(probeTimeout))
	p.put(c, err == nil)
	g.runner.Metrics.Polls.Add(1)
	if err != nil {
		if hasAnswered(err) {
			g.recordResponse(sentAt)
		}
		return
	}
	if reply.Result == ReadOnly {
		probe.recordNotPrimary()
		return
	}
	g.recordResponse(sentAt)
	if reply.Result == Succeeded && g.stillHasLease(observed) {
		g.recordPosition(observed, sentAt, reply.Position)
	}
}
