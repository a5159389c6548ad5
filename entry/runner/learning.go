package runner

import (
	"fmt"
	"strings"
	"time"

	"trefoilcourse/coord/capacity"
	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
)

// learningReportInterval is the least time between two reports of changed limits of a group.
const learningReportInterval = time.Second

// learning is what a group learns about the capacity of its servers.
type learning struct {
	// estimator is nil while learned-concurrency is off.
	estimator *capacity.Estimator
	// known are the latest learned limits by slot.
	known map[string]int
	// limited is the number of servers whose learned limit is below what they announce.
	limited int
	// changes are the changes since the last report.
	changes    int
	lastReport time.Time
}

// kind returns the kind of work of a statement, whose service times are comparable.
func (w *workItem) kind() capacity.Kind {
	return capacity.Kind{
		Target: time.Duration(w.database.LatencyMilliseconds) * time.Millisecond,
		Writes: w.request.GetKind() != wire.StatementKind_STATEMENT_KIND_READ,
	}
}

// applyLearning starts or stops learning as configured, and updates the servers; mu is held.
func (g *group) applyLearning(state *wire.GroupState) {
	configured, _, _ := g.runner.View.GroupConfig(g.name)
	if !configured.LearnedConcurrency && !g.runner.LearnedConcurrency {
		g.learning = learning{}
		g.queue.Capacity = nil
		return
	}
	if g.learning.estimator == nil {
		g.learning = learning{estimator: &capacity.Estimator{}, known: map[string]int{}}
	}
	var servers []capacity.Server
	for _, s := range state.GetServers() {
		servers = append(servers, capacity.Server{Slot: s.GetSlot(), Incarnation: s.GetIncarnation(), Concurrency: g.queue.AnnouncedConcurrency(s.GetSlot())})
	}
	g.learning.estimator.SetServers(clock.Now(), servers)
	g.queue.Capacity = g.learning.estimator
}

// learningReport describes the servers after a change of a learned limit, at most once a second; mu is held.
func (g *group) learningReport(now time.Time) string {
	l := &g.learning
	if l.estimator == nil {
		return ""
	}
	estimates := l.estimator.Estimates(now)
	known := make(map[string]int, len(estimates))
	l.limited = 0
	for _, e := range estimates {
		if before, ok := l.known[e.Slot]; ok && before != e.Learned {
			l.changes++
			g.runner.Metrics.LimitChanges.Add(1)
		}
		if e.Learned < e.Announced {
			l.limited++
		}
		known[e.Slot] = e.Learned
	}
	l.known = known
	if l.changes == 0 || now.Sub(l.lastReport) < learningReportInterval {
		return ""
	}
	parts := []string{fmt.Sprintf("changes %d", l.changes)}
	for _, e := range estimates {
		parts = append(parts, fmt.Sprintf("%s limit %d of %d, service time %.2f of the group's, last sample %v ago", e.Slot, e.Learned, e.Announced, e.Slowness, e.Age))
	}
	l.changes, l.lastReport = 0, now
	return strings.Join(parts, "; ")
}

// countLimitedServers updates the metric of servers that are given less than they announce.
func (r *Runner) countLimitedServers() {
	limited := 0
	for _, g := range r.ownedGroups() {
		g.mu.Lock()
		limited += g.learning.limited
		g.mu.Unlock()
	}
	r.Metrics.LimitedServers.Set(int64(limited))
}
