package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const tendInterval = 20 * time.Millisecond

// Owner holds this entry VM's groups; set the exported fields before Run.
type Owner struct {
	VM            string
	FailureDomain string
	// View says which groups are held and until when.
	View *view.View
	// Dialer reaches backend servers.
	Dialer protorpc.Dialer
	// RequestRenewal asks for an early renewal.
	RequestRenewal func()
	// Metrics counts what happens.
	Metrics *metrics.Metrics
	// Log receives changes of state.
	Log logrus.FieldLogger

	mu     sync.Mutex
	groups map[string]*group
}

// Run starts and ends groups as leases come and go, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		o.tend(ctx, time.Now())
		select {
		case <-ctx.Done():
			o.stopAll()
			return nil
		case <-ticker.C:
		}
	}
}

// tend brings the groups in line with the leases.
func (o *Owner) tend(ctx context.Context, now time.Time) {
	held := o.View.LeasedGroups()
	o.mu.Lock()
	if o.groups == nil {
		o.groups = map[string]*group{}
	}
	for _, name := range held {
		if o.groups[name] == nil && o.View.Connections(name) > 0 {
			o.groups[name] = newGroup(ctx, o, name)
		}
	}
	var ended []*group
	for name, g := range o.groups {
		if g.tend(now) {
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

// Running returns the number of units of work under way in all groups.
func (o *Owner) Running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	running := 0
	for _, g := range o.groups {
		running += g.load()
	}
	return running
}

// Report fills in what this VM holds and has found out about primaries.
func (o *Owner) Report(_ time.Time, r *wire.RenewRequest) (urgent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, g := range o.groups {
		holding, observation := g.report()
		r.Holdings = append(r.Holdings, holding)
		if observation != nil {
			r.Observations = append(r.Observations, observation)
		}
		if o.View.AckTerm(name) == 0 {
			urgent = true
		}
	}
	return urgent
}

// Serve runs the units of work that arrive on a stream until it ends.
func (o *Owner) Serve(ctx context.Context, open *wire.Open, stream net.Conn) {
	s := newServing(o, open, stream)
	s.run(ctx)
}
