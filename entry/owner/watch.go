package owner

import (
	"context"
	"slices"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/backend"
	"trefoilcourse/wire"
)

const (
	idlePollInterval = 200 * time.Millisecond
	busyPollInterval = time.Millisecond
	pollTimeout      = 400 * time.Millisecond
	// suspectAfter is the time without a good answer after which a primary is reported.
	suspectAfter = time.Second
	// stallAfter is the time without progress of replication, while it is waited for, after
	// which a primary is reported.
	stallAfter = 1500 * time.Millisecond
	// lagWeight is the inverse of the weight of a new lag in the running mean.
	lagWeight = 8
)

// watch polls the primary over a connection of its own until ctx ends.
func (g *group) watch(ctx context.Context) {
	for ctx.Err() == nil {
		state := g.owner.View.Group(g.name)
		server := serverOf(state, state.GetPrimarySlot())
		if server == nil || state.GetTerm() == 0 {
			g.judge(time.Now(), state.GetTerm())
			g.sleep(ctx, idlePollInterval/2)
			continue
		}
		g.setTerm(state.GetTerm())
		dialCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		conn, err := g.pool.get(dialCtx, server.GetSlot(), server.GetAddress(), state.GetTerm())
		cancel()
		if err != nil {
			g.judge(time.Now(), state.GetTerm())
			g.sleep(ctx, idlePollInterval/4)
			continue
		}
		g.pollAll(ctx, conn, state.GetTerm())
		g.pool.put(conn, false)
	}
}

// setTerm starts a term: what was found out about the primary of another does not count.
func (g *group) setTerm(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.healthFor == term {
		return
	}
	g.healthFor = term
	g.health = wire.PrimaryHealth_PRIMARY_HEALTH_UNKNOWN
	g.goodAt = time.Now()
	g.advanceAt = time.Now()
	g.replicas = map[string]*replica{}
}

// pollAll polls on one connection until it fails or the group's term changes.
func (g *group) pollAll(ctx context.Context, conn *backend.Conn, term uint64) {
	for ctx.Err() == nil && g.owner.View.Group(g.name).GetTerm() == term {
		report, err := conn.Poll(time.Now().Add(pollTimeout))
		g.owner.Metrics.Polls.Add(1)
		if err != nil || !report.Leads || report.Position.Term != term {
			g.judge(time.Now(), term)
			return
		}
		g.learn(report)
		g.judge(time.Now(), term)
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
	return len(g.waiters) > 0
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
func (g *group) learn(r backend.Report) {
	state := g.owner.View.Group(g.name)
	configured, _, _ := g.owner.View.Configured(g.name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.goodAt = time.Now()
	g.lastPoll = r
	g.sightings.Record(r.Asked, r.Position)
	for _, f := range r.Replicas {
		g.learnReplica(r.Asked, f)
	}
	majority := majorityOf(r, state, len(configured.Slots))
	if g.majority.Less(majority) || !majority.Less(r.Position) {
		g.advanceAt = time.Now()
	}
	g.majority = g.majority.Max(majority)
	for w := range g.waiters {
		if w.learn(r, g.majority) {
			delete(g.waiters, w)
		}
	}
	close(g.progress)
	g.progress = make(chan struct{})
}

// majorityOf returns the highest position that a majority of the slots has synced; only servers
// whose data is known to be that of their slot count.
func majorityOf(r backend.Report, state *wire.GroupState, slots int) session.Position {
	offsets := []uint64{r.Position.Offset}
	for _, f := range r.Replicas {
		s := serverOf(state, f.Slot)
		if s.GetAdmitted() && s.GetIncarnation() == f.Incarnation && f.Slot != state.GetPrimarySlot() {
			offsets = append(offsets, f.Flushed)
		}
	}
	needed := slots/2 + 1
	if len(offsets) < needed {
		return session.Position{}
	}
	slices.Sort(offsets)
	return session.Position{Term: r.Position.Term, Offset: offsets[len(offsets)-needed]}
}

func (g *group) learnReplica(asked time.Time, f backend.Replica) {
	known := g.replicas[f.Slot]
	if known == nil {
		known = &replica{}
		g.replicas[f.Slot] = known
	}
	known.replayed = f.Replayed
	known.reported = asked
	if age, ok := g.sightings.Age(asked, f.Replayed); ok {
		known.lag += (age - known.lag) / lagWeight
	}
}

// judge decides what to report about the primary. A primary that is reported gets no more
// acknowledgements from this VM, so that its successor need not wait for the lease.
func (g *group) judge(now time.Time, term uint64) {
	g.mu.Lock()
	before := g.health
	g.health = g.healthAt(now)
	after := g.health
	g.mu.Unlock()
	if before == after {
		return
	}
	if after == wire.PrimaryHealth_PRIMARY_HEALTH_GOOD {
		g.owner.View.Restore(g.name)
	} else {
		g.owner.View.Release(g.name, term)
	}
	g.owner.Log.WithFields(map[string]any{"group": g.name, "term": term, "health": after.String()}).Info("primary's health changes")
	g.owner.Poke()
}

func (g *group) healthAt(now time.Time) wire.PrimaryHealth {
	switch {
	case now.Sub(g.goodAt) > suspectAfter:
		return wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE
	case len(g.waiters) > 0 && now.Sub(g.advanceAt) > stallAfter:
		return wire.PrimaryHealth_PRIMARY_HEALTH_STALLED
	case now.Sub(g.goodAt) > pollTimeout:
		return g.health
	}
	return wire.PrimaryHealth_PRIMARY_HEALTH_GOOD
}

func serverOf(state *wire.GroupState, slot string) *wire.Server {
	for _, s := range state.GetServers() {
		if s.GetSlot() == slot {
			return s
		}
	}
	return nil
}
