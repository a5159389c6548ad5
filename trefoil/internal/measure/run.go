package measure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/entry"
	"trefoilcourse/standin"
	"trefoilcourse/trefoil/internal/rig"
)

// The baselines that a run may be compared with.
const (
	BaselineNone        = "none"
	BaselinePrimaryOnly = "primary-only"
	BaselineStaticPools = "static-pools"
)

const (
	settleTime   = 3 * time.Second
	startTimeout = 60 * time.Second
	samplePause  = 50 * time.Millisecond
)

// Options say how a run goes.
type Options struct {
	Deployment Deployment
	Seed       uint64
	Duration   time.Duration
	// Faults are the names of faults to bring about, in turn; nil means all.
	Faults   []string
	Baseline string
	// Progress is told what happens; nil is told nothing.
	Progress func(line string)
	// Log receives the daemons' lines; nil discards them.
	Log logrus.FieldLogger
}

// run is one measurement under way.
type run struct {
	options    Options
	deployment Deployment
	rig        *rig.Rig
	record     *record
	groups     map[string]*standin.Group
	callers    map[string][]string
	started    time.Time

	mu sync.Mutex
	// planned holds the entry VMs' addresses and the databases that a planned stop concerns.
	planned map[string]bool
}

// Run measures and returns the report; a broken promise is in the report, not an error.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	folder, err := os.MkdirTemp("", "trefoil-measure-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r := &run{
		options: o, deployment: o.Deployment, record: newRecord(),
		groups: map[string]*standin.Group{}, callers: map[string][]string{},
		planned: map[string]bool{},
	}
	if err := r.start(ctx, folder); err != nil {
		return nil, err
	}
	defer r.rig.Stop()
	r.drive(ctx)
	return r.judge(), nil
}

func (r *run) start(ctx context.Context, folder string) error {
	d := r.deployment
	groups := d.groups(r.options.Seed)
	for _, g := range groups {
		r.groups[g.Name] = g
	}
	plan := rig.Plan{
		Domains: d.domains, Controls: 3, Entries: d.entries, Groups: groups,
		Delay: delay, Folder: folder, Log: r.options.Log,
	}
	if r.options.Baseline == BaselineStaticPools {
		plan.Owners = d.entries
	}
	started, err := rig.Start(ctx, plan)
	if err != nil {
		return err
	}
	r.rig = started
	r.options.Progress(fmt.Sprintf("started %d control VMs, %d entry VMs and %d databases of 3 slots", 3, d.entries, len(groups)))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.rig.Publish(ctx, d.objects(r.replicas(), 0)); err != nil {
		r.rig.Stop()
		return err
	}
	r.options.Progress("published the configuration; it is in force everywhere")
	if err := r.awaitPrimaries(ctx); err != nil {
		r.rig.Stop()
		return err
	}
	return nil
}

func (r *run) replicas() bool { return r.options.Baseline != BaselinePrimaryOnly }

// awaitPrimaries waits until every group has a primary and owners.
func (r *run) awaitPrimaries(ctx context.Context) error {
	for {
		status, err := r.rig.Operator().Status(ctx, 0)
		if err != nil {
			return err
		}
		ready := 0
		for _, g := range status.GetGroups() {
			if g.GetState().GetTerm() > 0 && len(g.GetState().GetOwners()) > 0 && len(g.GetState().GetServers()) == 3 {
				ready++
			}
		}
		if ready == len(r.groups) {
			pause(ctx, time.Second)
			return nil
		}
		if ctx.Err() != nil {
			return errors.New("not every database has a primary")
		}
		pause(ctx, samplePause)
	}
}

// drive runs the traffic and the faults.
func (r *run) drive(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.started = time.Now()
	var traffic, side sync.WaitGroup
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	names := r.deployment.groupNames()
	var all []*caller
	for i := range r.deployment.callers {
		c := &caller{
			run: r, name: fmt.Sprintf("s%d", i), group: names[i%len(names)],
			random: rand.New(rand.NewPCG(r.options.Seed, uint64(i))),
		}
		r.callers[c.group] = append(r.callers[c.group], c.name)
		all = append(all, c)
	}
	for _, c := range all {
		traffic.Go(func() { c.loop(trafficCtx) })
	}
	side.Go(func() { r.sampleVersions(ctx) })
	r.bringFaults(ctx)
	rest := r.options.Duration - time.Since(r.started)
	pause(ctx, max(rest, settleTime))
	stopTraffic()
	traffic.Wait()
	cancel()
	side.Wait()
}

func (r *run) anyCaller(random *rand.Rand, group string) string {
	names := r.callers[group]
	return names[random.IntN(len(names))]
}

// sampleVersions looks for configurations that go back.
func (r *run) sampleVersions(ctx context.Context) {
	seen := map[*entry.Server]uint64{}
	for ctx.Err() == nil {
		for name, s := range r.rig.Entries() {
			version := s.ConfigurationVersion()
			if version < seen[s] {
				r.record.note(&r.record.reverts, fmt.Sprintf("%s went from version %d back to %d", name, seen[s], version))
			}
			seen[s] = version
		}
		pause(ctx, samplePause)
	}
}

func (r *run) setPlanned(what string, planned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned[what] = planned
}

// checkCut notes a request that a planned stop has cut: of the entry VM that it was sent to, or
// of a backend server of its database.
func (r *run) checkCut(c *caller, began time.Time, err error, v verdict, code string) {
	if v != unknown {
		return
	}
	r.mu.Lock()
	planned := r.planned[c.address] || r.planned[c.group]
	r.mu.Unlock()
	if planned {
		r.record.note(&r.record.cut, fmt.Sprintf("request of %s to %s at %s during a planned stop: %s %s", began.Format(time.TimeOnly), c.group, c.address, code, strings.TrimSpace(err.Error())))
	}
}
