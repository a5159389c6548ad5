package owner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"trefoilcourse/coord/watch"
	"trefoilcourse/entry/backend"
	"trefoilcourse/wire"
)

const (
	idlePollInterval = 200 * time.Millisecond
	busyPollInterval = time.Millisecond
	pollTimeout      = 400 * time.Millisecond
)

// watch polls the primary over a connection of its own until ctx ends.
func (g *group) watch(ctx context.Context) {
	for ctx.Err() == nil {
		state := g.owner.View.Group(g.name)
		server := serverOf(state, state.GetPrimarySlot())
		if server == nil || state.GetTerm() == 0 {
			g.sleep(ctx, idlePollInterval/2)
			continue
		}
		g.setTerm(state.GetTerm())
		dialCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		conn, err := g.pool.get(dialCtx, server.GetSlot(), server.GetAddress(), state.GetTerm())
		cancel()
		if err != nil {
			g.noteRefusal(err)
			g.sleep(ctx, idlePollInterval/4)
			continue
		}
		g.pollAll(ctx, conn, state.GetTerm())
		g.pool.put(conn, false)
	}
}

// noteRefusal tells a VM without a server from one that cannot be reached.
func (g *group) noteRefusal(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.Refused(time.Now())
}

// setTerm starts a term of the group.
func (g *group) setTerm(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.Start(time.Now(), term)
}

// pollAll polls on one connection until it fails or the group's term changes.
func (g *group) pollAll(ctx context.Context, conn *backend.Conn, term uint64) {
	for ctx.Err() == nil && g.owner.View.Group(g.name).GetTerm() == term {
		report, err := conn.Poll(time.Now().Add(pollTimeout))
		g.owner.Metrics.Polls.Add(1)
		if err != nil || !report.Leads || report.Position.Term != term {
			return
		}
		g.learn(report)
		g.judge(time.Now())
		if g.waited() {
			g.sleep(ctx, busyPollInterval)
		} else {
			g.sleepUntilWoken(ctx, idlePollInterval)
		}
	}
}

func (g *group) waited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen.Waiting() > 0
}

func (g *group) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (g *group) sleepUntilWoken(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-g.wake:
	case <-timer.C:
	}
}

// learn takes over a poll's answer and wakes the waiters it satisfies.
func (g *group) learn(r watch.Report) {
	state := g.owner.View.Group(g.name)
	configured, _, _ := g.owner.View.GroupConfig(g.name)
	leased := g.owner.View.AckTerm(g.name) == r.Position.Term
	counted := watch.Group{Leased: leased, Slots: len(configured.Slots), Primary: state.GetPrimarySlot(), Admitted: map[string]string{}, PrimaryOnly: !configured.NeedsMajority()}
	for _, s := range state.GetServers() {
		if s.GetAdmitted() {
			counted.Admitted[s.GetSlot()] = s.GetIncarnation()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeDone(g.seen.Learn(time.Now(), r, counted))
}

// judge decides what to report about the primary. A primary that is reported gets no more
// acknowledgements from this VM, so that its successor need not wait for the lease.
func (g *group) judge(now time.Time) {
	g.mu.Lock()
	term := g.seen.Term()
	changed := false
	var health watch.Health
	if term > 0 {
		health, changed = g.seen.Judge(now)
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	if health == watch.Good {
		g.owner.View.Restore(g.name)
	} else {
		g.owner.View.Release(g.name, term)
	}
	g.owner.Log.WithFields(map[string]any{"group": g.name, "term": term, "health": health.String()}).Info("primary's health changes")
	g.owner.RequestRenewal()
}

func serverOf(state *wire.GroupState, slot string) *wire.Server {
	for _, s := range state.GetServers() {
		if s.GetSlot() == slot {
			return s
		}
	}
	return nil
}
