package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/budget"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const reconcileInterval = 20 * time.Millisecond

// Owner manages the groups that this entry VM owns; set the exported fields before Run.
type Owner struct {
	VM            string
	FailureDomain string
	// View provides the leases and the directory.
	View *view.View
	// Dialer connects to backend servers.
	Dialer protorpc.Dialer
	// RequestRenewal requests an early renewal of the leases.
	RequestRenewal func()
	// Metrics are the counters to update.
	Metrics *metrics.Metrics
	// Memory is the budget for what arrives on links; nil means no limit.
	Memory *budget.Budget
	// Log receives state changes.
	Log logrus.FieldLogger

	mu     sync.Mutex
	groups map[string]*group
}

// Run starts and stops groups as leases are granted and end, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		o.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			o.stopAll()
			return nil
		case <-ticker.C:
		}
	}
}

// reconcile starts groups with a new lease and removes those without one.
func (o *Owner) reconcile(ctx context.Context, now time.Time) {
	leased := o.View.LeasedGroups()
	o.mu.Lock()
	if o.groups == nil {
		o.groups = map[string]*group{}
	}
	for _, name := range leased {
		if o.groups[name] == nil && o.View.Connections(name) > 0 {
			o.groups[name] = newGroup(ctx, o, name)
		}
	}
	var ended []*group
	for name, g := range o.groups {
		if g.reconcile(now) {
			delete(o.groups, name)
			ended = append(ended, g)
		}
	}
	o.mu.Unlock()
	for _, g := range ended {
		g.stop()
	}
}

func (o *Owner) stopAll() {
	o.mu.Lock()
	groups := o.groups
	o.groups = map[string]*group{}
	o.mu.Unlock()
	for _, g := range groups {
		g.stop()
	}
}

func (o *Owner) group(name string) *group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.groups[name]
}

// Running returns the number of units of work that run or wait in all groups.
func (o *Owner) Running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	running := 0
	for _, g := range o.groups {
		running += g.load()
	}
	return running
}

// Report adds the groups held and the observed health of their primaries to a renewal. It reports
// urgent when a group has no lease for its primary's term.
func (o *Owner) Report(_ time.Time, request *wire.RenewRequest) (urgent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, g := range o.groups {
		holding, observation := g.report()
		request.Holdings = append(request.Holdings, holding)
		if observation != nil {
			request.Observations = append(request.Observations, observation)
		}
		if o.View.AckTerm(name) == 0 {
			urgent = true
		}
	}
	return urgent
}

// Serve executes the units of work that arrive on a stream until it ends.
func (o *Owner) Serve(ctx context.Context, open *wire.Open, stream net.Conn) {
	s := newUnitStream(o, open, stream)
	s.run(ctx)
}
