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

// watch polls the primary on a dedicated connection until ctx ends.
func (g *group) watch(ctx context.Context) {
	for ctx.Err() == nil {
		state := g.owner.View.Group(g.name)
		server := serverOf(state, state.GetPrimarySlot())
		if server == nil || state.GetTerm() == 0 {
			g.sleep(ctx, idlePollInterval/2)
			continue
		}
		g.startTerm(state.GetTerm())
		dialCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		conn, err := g.pool.get(dialCtx, server.GetSlot(), server.GetAddress(), state.GetTerm())
		cancel()
		if err != nil {
			g.recordRefusedDial(err)
			g.sleep(ctx, idlePollInterval/4)
			continue
		}
		g.pollConn(ctx, conn, state.GetTerm())
		g.pool.put(conn, false)
	}
}

// recordRefusedDial records a refused connection: the VM is reachable, but no server listens on it.
func (g *group) recordRefusedDial(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryWatch.RecordRefusal(time.Now())
}

// startTerm resets the primary's health when the group's term changes.
func (g *group) startTerm(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryWatch.StartTerm(time.Now(), term)
}

// pollConn polls on one connection until it fails or the group's term changes.
func (g *group) pollConn(ctx context.Context, conn *backend.Conn, term uint64) {
	for ctx.Err() == nil && g.owner.View.Group(g.name).GetTerm() == term {
		report, err := conn.Poll(time.Now().Add(pollTimeout))
		g.owner.Metrics.Polls.Add(1)
		if err != nil || !report.IsPrimary || report.Position.Term != term {
			return
		}
		g.applyReport(report)
		g.updateHealth(time.Now())
		if g.hasWaits() {
			g.sleep(ctx, busyPollInterval)
		} else {
			g.sleepUntilWoken(ctx, idlePollInterval)
		}
	}
}

func (g *group) hasWaits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryWatch.PendingWaits() > 0
}

func (g *group) sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (g *group) sleepUntilWoken(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-g.pollNow:
	case <-timer.C:
	}
}

// applyReport applies the result of a poll and ends the waits that it satisfies.
func (g *group) applyReport(report watch.Report) {
	state := g.owner.View.Group(g.name)
	configured, _, _ := g.owner.View.GroupConfig(g.name)
	leased := g.owner.View.AckTerm(g.name) == report.Position.Term
	majorityGroup := watch.MajorityRules{HoldsLease: leased, SlotCount: len(configured.Slots), PrimarySlot: state.GetPrimarySlot(), Admitted: map[string]string{}, PrimaryOnly: !configured.NeedsMajority()}
	for _, s := range state.GetServers() {
		if s.GetAdmitted() {
			majorityGroup.Admitted[s.GetSlot()] = s.GetIncarnation()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.primaryWatch.HandleReport(time.Now(), report, majorityGroup))
}

// updateHealth reports a change of the primary's health. While a primary is reported unhealthy this VM
// acknowledges no writes on it, so that a promotion need not wait for the lease to expire.
func (g *group) updateHealth(now time.Time) {
	g.mu.Lock()
	term := g.primaryWatch.Term()
	changed := false
	var health watch.Health
	if term > 0 {
		health, changed = g.primaryWatch.Evaluate(now)
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
	g.owner.Log.WithFields(map[string]any{"group": g.name, "term": term, "health": health.String()}).Info("primary health changed")
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
