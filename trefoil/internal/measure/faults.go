package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"trefoilcourse/standin"
	operator "trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire"
)

const (
	gapTimeout      = 20 * time.Second
	faultPause      = 1500 * time.Millisecond
	restartAfter    = 3 * time.Second
	lagFault        = 800 * time.Millisecond
	cutFault        = 5 * time.Second
	leavingWatch    = 6 * time.Second
	manyChanges     = 40
	inForceTimeout  = 30 * time.Second
	controlRecovery = 3 * time.Second
)

// fault brings one kind of failure about.
type fault struct {
	name string
	run  func(*run, context.Context, *rand.Rand)
}

func allFaults() []fault {
	return []fault{
		{"primary-killed", (*run).killPrimary},
		{"primary-cut", (*run).cutPrimary},
		{"primary-frozen", (*run).freezePrimary},
		{"replicas-behind", (*run).delayReplicas},
		{"entry-killed", (*run).killEntry},
		{"entry-drained", (*run).drainEntry},
		{"control-cut", (*run).cutControl},
		{"silent-connections", (*run).silenceConnections},
		{"silent-links", (*run).silenceLinks},
		{"server-leaving", (*run).leaveReplica},
		{"primary-leaving", (*run).leavePrimary},
		{"publish-race", (*run).racePublishes},
		{"control-wiped", (*run).wipeControl},
		{"restart-after-changes", (*run).restartAfterChanges},
		{"primary-and-owner", (*run).killPrimaryAndOwner},
	}
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range allFaults() {
		names = append(names, f.name)
	}
	return names
}

func (r *run) bringFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<32))
	pause(ctx, faultPause)
	wanted := r.options.Faults
	if wanted == nil {
		wanted = r.deployment.faults
	}
	for first := true; first || len(wanted) > 0 && time.Since(r.started)+2*settleTime < r.options.Duration; first = false {
		for _, f := range allFaults() {
			if len(wanted) > 0 && !slices.Contains(wanted, f.name) {
				continue
			}
			if ctx.Err() != nil || time.Since(r.started)+settleTime > r.options.Duration {
				return
			}
			r.options.Progress("fault: " + f.name)
			f.run(r, ctx, random)
			pause(ctx, faultPause)
		}
	}
}

func (r *run) pick(random *rand.Rand) *standin.Group {
	names := r.deployment.groupNames()
	return r.groups[names[random.IntN(len(names))]]
}

// awaitWrites records the failover gap: how long after a primary failed at at no write landed.
func (r *run) awaitWrites(ctx context.Context, group string, at time.Time) {
	if gap, ok := r.awaitFirst(ctx, group, at); ok {
		r.record.mu.Lock()
		r.record.gaps = append(r.record.gaps, gap)
		r.record.mu.Unlock()
	}
}

// awaitFirst waits until a write that began after at lands, and returns how long after at.
func (r *run) awaitFirst(ctx context.Context, group string, at time.Time) (time.Duration, bool) {
	for time.Since(at) < gapTimeout && ctx.Err() == nil {
		if first := r.record.firstAcknowledged(group, at); !first.IsZero() {
			r.options.Progress(fmt.Sprintf("  writes to %s land again after %v", group, first.Sub(at).Round(time.Millisecond)))
			return first.Sub(at), true
		}
		pause(ctx, 10*time.Millisecond)
	}
	r.record.note(&r.record.broken, fmt.Sprintf("%s: no write landed within %v of a fault", group, gapTimeout))
	return 0, false
}

func (r *run) killPrimary(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	primary := g.Primary()
	if primary == nil {
		return
	}
	at := time.Now()
	primary.Kill()
	r.awaitWrites(ctx, g.Name, at)
	pause(ctx, restartAfter)
	r.restart(ctx, primary)
}

func (r *run) restart(ctx context.Context, s *standin.Server) {
	if err := s.Start(context.WithoutCancel(ctx)); err != nil {
		r.record.note(&r.record.broken, "a stand-in did not start again: "+err.Error())
	}
}

func (r *run) killPrimaryAndOwner(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	primary := g.Primary()
	status, err := r.rig.Operator().Status(ctx, 0)
	if primary == nil || err != nil {
		return
	}
	owner := -1
	for _, s := range status.GetGroups() {
		if s.GetState().GetGroup() == g.Name && len(s.GetState().GetOwners()) > 0 {
			_, _ = fmt.Sscanf(s.GetState().GetOwners()[0], "e%d", &owner)
		}
	}
	at := time.Now()
	primary.Kill()
	if owner > 0 {
		r.rig.KillEntry(owner - 1)
	}
	r.awaitWrites(ctx, g.Name, at)
	pause(ctx, restartAfter)
	r.restart(ctx, primary)
	if owner > 0 {
		r.reviveEntry(owner - 1)
	}
}

// cutPrimary cuts a primary off from the rest of its group; callers' owners still reach it.
func (r *run) cutPrimary(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	primary := g.Primary()
	if primary == nil {
		return
	}
	at := time.Now()
	primary.SetPartitioned(true)
	r.awaitWrites(ctx, g.Name, at)
	pause(ctx, restartAfter)
	primary.SetPartitioned(false)
}

// freezePrimary keeps a primary from answering, with its connections open, and lets it go on
// with what it remembers when another leads.
func (r *run) freezePrimary(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	primary := g.Primary()
	if primary == nil {
		return
	}
	at := time.Now()
	primary.SetFrozen(true)
	r.awaitWrites(ctx, g.Name, at)
	pause(ctx, restartAfter)
	primary.SetFrozen(false)
}

// silenceLinks makes an entry VM's connections to all other VMs of the system silent.
func (r *run) silenceLinks(ctx context.Context, random *rand.Rand) {
	i := r.pickEntry(random)
	lost := 0
	for k := range r.deployment.entries {
		lost += r.rig.Network.Silence(r.rig.EntryPlace(i), r.rig.EntryPlace(k))
	}
	for k := range 3 {
		lost += r.rig.Network.Silence(r.rig.EntryPlace(i), r.rig.ControlPlace(k))
	}
	r.options.Progress(fmt.Sprintf("  %d connections of an entry VM went silent", lost))
	pause(ctx, cutFault)
}

func (r *run) delayReplicas(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	for _, slot := range g.Slots {
		g.Server(slot.Name).SetExtraReplayLag(lagFault)
	}
	pause(ctx, cutFault)
	for _, slot := range g.Slots {
		g.Server(slot.Name).SetExtraReplayLag(0)
	}
}

func (r *run) pickEntry(random *rand.Rand) int {
	for {
		i := random.IntN(r.deployment.entries)
		if r.rig.CallerAddress(i) != "" {
			return i
		}
	}
}

func (r *run) killEntry(ctx context.Context, random *rand.Rand) {
	i := r.pickEntry(random)
	r.rig.KillEntry(i)
	pause(ctx, restartAfter)
	r.reviveEntry(i)
}

func (r *run) reviveEntry(i int) {
	r.rig.Network.Cut(r.rig.EntryPlace(i), false)
	if err := r.rig.StartEntry(i); err != nil {
		r.record.note(&r.record.broken, "an entry VM did not start again: "+err.Error())
	}
}

func (r *run) drainEntry(_ context.Context, random *rand.Rand) {
	i := r.pickEntry(random)
	address := r.rig.CallerAddress(i)
	r.setPlanned(address, true)
	r.rig.DrainEntry(i)
	r.reviveEntry(i)
}

// cutControl cuts the leading control VM off, silently, and joins it again.
func (r *run) cutControl(ctx context.Context, random *rand.Rand) {
	i := random.IntN(3)
	r.rig.Network.Cut(r.rig.ControlPlace(i), true)
	pause(ctx, cutFault)
	r.rig.Network.Cut(r.rig.ControlPlace(i), false)
	pause(ctx, controlRecovery)
}

// silenceConnections makes the connections of an owner to a primary silent; new ones work.
func (r *run) silenceConnections(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	primary := g.Primary()
	if primary == nil {
		return
	}
	place := r.rig.Network.PlaceOf(primary.Address())
	lost := 0
	for i := range r.deployment.entries {
		lost += r.rig.Network.Silence(r.rig.EntryPlace(i), place)
	}
	r.options.Progress(fmt.Sprintf("  %d connections to the primary of %s went silent", lost, g.Name))
	r.awaitFirst(ctx, g.Name, time.Now())
}

func (r *run) leaveReplica(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	primary := g.Primary()
	for _, slot := range g.Slots {
		if s := g.Server(slot.Name); primary != nil && s != primary {
			r.leave(ctx, g, s)
			return
		}
	}
}

func (r *run) leavePrimary(ctx context.Context, random *rand.Rand) {
	g := r.pick(random)
	if primary := g.Primary(); primary != nil {
		r.leave(ctx, g, primary)
	}
}

// leave announces that a server leaves and records how long it still got new work.
func (r *run) leave(ctx context.Context, g *standin.Group, s *standin.Server) {
	at := time.Now()
	r.setPlanned(g.Name, true)
	s.SetLeaving(true)
	pause(ctx, leavingWatch)
	if last := g.ActivityLog().LastStatementTime(s.Slot()); last.After(at) {
		r.record.mu.Lock()
		r.record.leaving = max(r.record.leaving, last.Sub(at))
		r.record.mu.Unlock()
	}
	s.Kill()
	pause(ctx, time.Second)
	r.setPlanned(g.Name, false)
	s.SetLeaving(false)
	pause(ctx, time.Second)
	r.restart(ctx, s)
}

// racePublishes publishes twice on one version, and sends the winner's publish again.
func (r *run) racePublishes(ctx context.Context, _ *rand.Rand) {
	client := r.rig.Operator()
	current, err := client.Configuration(ctx)
	if err != nil {
		r.record.note(&r.record.broken, "the configuration could not be read: "+err.Error())
		return
	}
	results := make([]*wire.PublishResult, 2)
	done := make(chan int, 2)
	for k := range results {
		go func() {
			results[k] = r.publishOn(ctx, fmt.Sprintf("race-%d-%d", current.GetVersion(), k), current.GetVersion(), int(current.GetVersion())*2+k)
			done <- k
		}()
	}
	<-done
	<-done
	at := time.Now()
	winners := 0
	for k, result := range results {
		if result.GetAccepted() {
			winners++
			again := r.publishOn(ctx, fmt.Sprintf("race-%d-%d", current.GetVersion(), k), current.GetVersion(), int(current.GetVersion())*2+k)
			if !again.GetAccepted() || again.GetVersion() != result.GetVersion() {
				r.record.note(&r.record.broken, "a publish that was sent again got another answer")
			}
		}
	}
	if winners != 1 {
		r.record.note(&r.record.broken, fmt.Sprintf("%d of two racing publishes were accepted", winners))
		return
	}
	r.awaitInForce(ctx, client, current.GetVersion()+1, at)
}

func (r *run) publishOn(ctx context.Context, id string, base uint64, note int) *wire.PublishResult {
	result, err := r.rig.Operator().Publish(ctx, &wire.PublishRequest{
		Id: id, BaseVersion: base, Author: "operator", Objects: r.deployment.objects(r.replicas(), note),
	})
	if err != nil {
		r.record.note(&r.record.broken, "a publish got no answer: "+err.Error())
		return nil
	}
	return result
}

// awaitInForce records how long a version took, and checks that every entry VM has it then.
func (r *run) awaitInForce(ctx context.Context, client *operator.Client, version uint64, at time.Time) {
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	if err := client.AwaitInForce(waitCtx, version, func(int, int) {}); err != nil {
		r.record.note(&r.record.broken, err.Error())
		return
	}
	took := time.Since(at)
	r.record.mu.Lock()
	r.record.inForce = max(r.record.inForce, took)
	r.record.mu.Unlock()
	r.options.Progress(fmt.Sprintf("  version %d is in force everywhere after %v", version, took.Round(time.Millisecond)))
	for name, s := range r.rig.Entries() {
		if have := s.ConfigurationVersion(); have > 0 && have < version {
			r.record.note(&r.record.broken, fmt.Sprintf("%s works by version %d while %d was said to be in force", name, have, version))
		}
	}
}

// wipeControl wipes a control VM, lets it come back, and stops a second one right after.
func (r *run) wipeControl(ctx context.Context, random *rand.Rand) {
	i := random.IntN(3)
	r.rig.StopControl(i)
	if err := os.RemoveAll(r.rig.DataFolder(i)); err != nil {
		r.record.note(&r.record.broken, err.Error())
		return
	}
	pause(ctx, time.Second)
	if err := r.rig.StartControl(i); err != nil {
		r.record.note(&r.record.broken, err.Error())
		return
	}
	pause(ctx, controlRecovery)
	second := (i + 1) % 3
	r.rig.StopControl(second)
	pause(ctx, cutFault)
	if err := r.rig.StartControl(second); err != nil {
		r.record.note(&r.record.broken, err.Error())
	}
	pause(ctx, controlRecovery)
}

// restartAfterChanges stops an entry VM, publishes many changes, and starts it again.
func (r *run) restartAfterChanges(ctx context.Context, random *rand.Rand) {
	i := r.pickEntry(random)
	r.rig.KillEntry(i)
	current, err := r.rig.Operator().Configuration(ctx)
	if err != nil {
		r.record.note(&r.record.broken, err.Error())
		return
	}
	version := current.GetVersion()
	for k := range manyChanges {
		result := r.publishOn(ctx, operator.NewID(), version, 1000+k)
		if !result.GetAccepted() {
			r.record.note(&r.record.broken, "one of many publishes was refused: "+result.GetReason())
			return
		}
		version = result.GetVersion()
	}
	r.reviveEntry(i)
	r.awaitInForce(ctx, r.rig.Operator(), version, time.Now())
}
