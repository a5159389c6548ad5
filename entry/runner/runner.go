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
)

// tendInterval is how often leases and transactions are looked at; it is short beside a lease.
const tendInterval = 50 * time.Millisecond

// Runner holds this entry VM's announced groups; set the exported fields before Run.
type Runner struct {
	VM            string
	FailureDomain string
	// View says which groups are held and until when.
	View *view.View
	// Servers reaches backend servers.
	Servers Servers
	// Poke asks for an early renewal.
	Poke func()
	// Metrics counts what happens.
	Metrics *metrics.Metrics
	// Log receives decisions.
	Log logrus.FieldLogger

	mu     sync.Mutex
	groups map[string]*group
	units  map[string]*unit
	// still notices that this VM stood still.
	still health.Standstill
}

// Run holds groups as leases come and go until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		changed := r.View.Changed()
		r.tend()
		select {
		case <-ctx.Done():
			r.stop()
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (r *Runner) tend() {
	now := clock.Now()
	r.mu.Lock()
	r.still.Beat(now)
	woke := r.still.Woke(now)
	r.mu.Unlock()
	if woke {
		r.Log.Info("has stood still; what had reached it before is not run")
	}
	for _, name := range r.View.LeasedGroups() {
		configured, _, ok := r.View.GroupConfig(name)
		if ok && configured.Announced && r.View.Connections(name) > 0 {
			r.hold(name)
		}
	}
	for _, g := range r.held() {
		if g.tend() {
			r.mu.Lock()
			delete(r.groups, g.name)
			r.mu.Unlock()
			r.Log.WithFields(logrus.Fields{
				"group": g.name, "leased": r.View.Leased(g.name), "connections": r.View.Connections(g.name),
				"owners": r.View.Group(g.name).GetOwners(), "confirmed-ms-ago": r.View.ConfirmationAge().Milliseconds(),
			}).Info("owns a group no more")
		}
	}
	r.endIdle()
}

func (r *Runner) hold(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.groups == nil {
		r.groups = map[string]*group{}
	}
	if r.groups[name] == nil {
		r.groups[name] = newGroup(r, name)
		// What was given up in an earlier ownership is granted anew, or not at all.
		r.View.Restore(name)
		r.Log.WithFields(logrus.Fields{"group": name, "connections": r.View.Connections(name)}).Info("owns a group")
	}
}

func (r *Runner) held() []*group {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := make([]*group, 0, len(r.groups))
	for _, g := range r.groups {
		groups = append(groups, g)
	}
	return groups
}

// Woke reports whether this VM stood still until a moment ago.
func (r *Runner) Woke() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.still.Woke(clock.Now())
}

func (r *Runner) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groups[name]
}

// Running returns the number of statements that run or wait, and of open transactions.
func (r *Runner) Running() int {
	r.mu.Lock()
	open := len(r.units)
	r.mu.Unlock()
	for _, g := range r.held() {
		open += g.load()
	}
	return open
}

// Report implements control.Reporter.
func (r *Runner) Report(_ time.Time, request *wire.RenewRequest) (urgent bool) {
	for _, g := range r.held() {
		holding, observation := g.report()
		request.Holdings = append(request.Holdings, holding)
		if observation != nil {
			request.Observations = append(request.Observations, observation)
			urgent = urgent || observation.GetHealth() == wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE
		}
		urgent = urgent || g.closing()
	}
	return urgent
}

func (r *Runner) stop() {
	for _, g := range r.held() {
		g.close()
	}
}
