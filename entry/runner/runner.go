package runner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/health"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/lines"
)

// maintenanceInterval is how often leases and transactions are checked; it is much shorter than a
// lease.
const maintenanceInterval = 50 * time.Millisecond

// Runner runs statements for the announced groups that this entry VM owns; set the exported
// fields before Run.
type Runner struct {
	VM            string
	FailureDomain string
	// Regions maps failure domains to regions; nil if they are not known.
	Regions map[string]string
	// View tells which groups this VM owns and until when.
	View *view.View
	// Connector opens connections to backend servers.
	Connector Connector
	// RequestRenewal requests an early lease renewal.
	RequestRenewal func()
	// LearnedConcurrency enables learned-concurrency for all groups.
	LearnedConcurrency bool
	// RoomForUrgentWork gives patient work fewer places on servers that several owners crowd.
	RoomForUrgentWork bool
	// Metrics counts statements, retries, probes and connections.
	Metrics *metrics.Metrics
	// Log receives changes of ownership and health, refusals and ended transactions.
	Log logrus.FieldLogger

	mu           sync.Mutex
	groups       map[string]*group
	transactions map[string]*transaction
	// suspension detects that this VM was suspended.
	suspension health.SuspendDetector
	usage      usage
	// doubtLogs limits the lines about answers that may belong to an earlier statement.
	doubtLogs lines.Limiter
}

// Run adds and removes groups as leases start and end, until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		changed := r.View.Changed()
		r.maintain()
		select {
		case <-ctx.Done():
			r.stop()
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (r *Runner) maintain() {
	now := clock.Now()
	r.mu.Lock()
	r.suspension.Heartbeat(now)
	resumed := r.suspension.RecentlySuspended(now)
	r.mu.Unlock()
	if resumed {
		r.Log.Info("VM was suspended; requests that arrived before it resumed are not run")
	}
	for _, name := range r.View.LeasedGroups() {
		configured, _, ok := r.View.GroupConfig(name)
		if ok && configured.Announced && r.View.Connections(name) > 0 {
			r.addGroup(name)
		}
	}
	for _, g := range r.ownedGroups() {
		if g.maintain() {
			r.mu.Lock()
			delete(r.groups, g.name)
			r.mu.Unlock()
			r.Log.WithFields(logrus.Fields{
				"group": g.name, "leased": r.View.Leased(g.name), "connections": r.View.Connections(g.name),
				"owners": r.View.Group(g.name).GetOwners(), "confirmed-ms-ago": r.View.ConfirmationAge().Milliseconds(),
			}).Info("group ownership ended")
		}
	}
	r.countLimitedServers()
	r.endIdleTransactions()
	r.requestAllowances()
}

func (r *Runner) addGroup(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.groups == nil {
		r.groups = map[string]*group{}
	}
	if r.groups[name] == nil {
		r.groups[name] = newGroup(r, name)
		// Releases from an earlier ownership no longer count; the control leader decides on
		// the grant again.
		r.View.Restore(name)
		r.Log.WithFields(logrus.Fields{"group": name, "connections": r.View.Connections(name)}).Info("group ownership started")
	}
}

func (r *Runner) ownedGroups() []*group {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := make([]*group, 0, len(r.groups))
	for _, g := range r.groups {
		groups = append(groups, g)
	}
	return groups
}

// RecentlySuspended reports whether this VM resumed from a suspension a moment ago.
func (r *Runner) RecentlySuspended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspension.RecentlySuspended(clock.Now())
}

func (r *Runner) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groups[name]
}

// InFlight returns the number of running and queued statements plus open transactions.
func (r *Runner) InFlight() int {
	r.mu.Lock()
	count := len(r.transactions)
	r.mu.Unlock()
	count += r.usage.waits()
	for _, g := range r.ownedGroups() {
		count += g.inFlight()
	}
	return count
}

// Report implements control.Reporter.
func (r *Runner) Report(now time.Time, request *wire.RenewRequest) (urgent bool) {
	r.usage.report(now, request)
	for _, g := range r.ownedGroups() {
		holding, observation := g.report()
		request.Holdings = append(request.Holdings, holding)
		if observation != nil {
			request.Observations = append(request.Observations, observation)
			// The answer may say that the primary is to be replaced; callers wait until it is.
			urgent = urgent || observation.GetHealth() != wire.PrimaryHealth_PRIMARY_HEALTH_GOOD
		}
		urgent = urgent || g.closing()
	}
	return urgent
}

func (r *Runner) stop() {
	for _, g := range r.ownedGroups() {
		g.close()
	}
}
