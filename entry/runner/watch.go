package runner

import (
	"context"
	"time"

	"trefoilcourse/coord/clock"
)

// probeTimeout is longer than the silence after which a primary counts as unusable, so that an
// answer that comes late still speaks for it.
const probeTimeout = 1500 * time.Millisecond

func (g *group) noteAsked(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.Asked(at)
}

func (g *group) noteAnswered(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.Answered(clock.Now(), asked)
}

func (g *group) doubtful() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health.Doubtful(clock.Now())
}

// enterPrimary counts a statement or transaction on the primary, if it may still begin there.
func (g *group) enterPrimary(at standing) bool {
	if !g.stillLeads(at) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPrimary++
	return true
}

func (g *group) leavePrimary() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPrimary--
}

// probe asks the primary something when no statement has done so for a while.
func (g *group) probe() {
	g.mu.Lock()
	p := g.pools[g.primary]
	at := standing{g.term, g.primary}
	due := !g.probing && p != nil && g.active && g.health.Due(clock.Now())
	g.probing = g.probing || due
	g.mu.Unlock()
	if due {
		go g.ask(p, at)
	}
}

func (g *group) ask(p *pool, at standing) {
	defer func() {
		g.mu.Lock()
		g.probing = false
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	asked := clock.Now()
	g.noteAsked(asked)
	probe := &place{group: g, slot: at.primary, onPrimary: true, at: at, asked: asked}
	l, err := p.take(ctx, g.runner.Servers, nil)
	if err != nil {
		probe.refusedBy(err)
		return
	}
	reply, err := l.Ping(time.Now().Add(probeTimeout))
	p.put(l, err == nil)
	g.runner.Metrics.Polls.Add(1)
	if err != nil {
		return
	}
	if reply.Result == ReadOnly {
		probe.deposed()
		return
	}
	g.noteAnswered(asked)
	if reply.Result == Succeeded && g.stillLeads(at) {
		g.learn(at, asked, reply.Position)
	}
}
