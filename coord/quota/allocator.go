package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"trefoilcourse/wire"
)

const (
	// sweepInterval is how often the records of silent VMs are looked at. A record that is kept for
	// longer than needed only delays the refill.
	sweepInterval = 100 * time.Millisecond
	// demandPeriod is the time over which the leader averages a workspace's demand, that of the window
	// for which the cap is stated.
	demandPeriod = 5 * time.Second
	// minRetry and maxRetry bound the time after which a refused operation may be tried again. Owners
	// get more with their next renewals, which come each 400 ms.
	minRetry = 400 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxEarlyRate limits the early renewals in a second that all owners ask for together because
	// operations wait: half of what half a processor handles. At 1000 a second, 3.6% of the operations of
	// 570 owners were refused below their caps, since they could not wait for the next early renewal.
	maxEarlyRate = 2000
)

// Allocator is the control leader's record of usage caps; it is not safe for concurrent use.
type Allocator struct {
	// Hold is how long a VM counts as holding what it was granted, after its latest renewal.
	Hold time.Duration

	workspaces map[string]*pool
	vms        map[string]*vmRecord
	nextSweep  time.Time
	// reported holds the VMs that have reported all they hold in this term. unknown holds others, which
	// may hold what they left out of a partial report, and until when.
	reported map[string]bool
	unknown  map[string]time.Time
}

// pool is what the leader knows of one workspace.
type pool struct {
	limits     Cap
	operations float64
	refilledAt time.Time
	// counted is the number that all VMs may hold, and unmet the number that they lack.
	counted, unmet int
	demand         average
}

// vmRecord is what a VM may hold until expiry.
type vmRecord struct {
	expiry     time.Time
	workspaces map[string]*part
}

// part is what one VM may hold of one workspace, and what it lacks.
type part struct {
	counted, unmet int
	// reserve says that the VM used nothing and wants no more than a reserve by its latest report.
	reserve bool
}

// Renewal is a VM's report, with what the leader knows of the VM.
type Renewal struct {
	VM string
	// Leased says that the answer gives the VM a lease on some group. A VM without one starts nothing
	// and may hold nothing, so that the next leader knows all VMs that hold operations.
	Leased bool
	// Recovering says that there may be VMs that hold operations and are not known to this leader.
	Recovering bool
	Usage      []*wire.WorkspaceUsage
	// Partial says that nothing has changed of workspaces that are not in Usage.
	Partial bool
}

// Leased reports whether the grants of an answer give a VM a lease on some group.
func Leased(grants []*wire.Grant) bool {
	return slices.ContainsFunc(grants, func(g *wire.Grant) bool { return g.GetTerm() > 0 || g.GetConnections() > 0 })
}

// StartTerm forgets everything and begins with empty pools: what the former leader's pools had, or
// owners hold, is not known yet.
func (a *Allocator) StartTerm(now time.Time, caps map[string]Cap) {
	a.workspaces = map[string]*pool{}
	a.vms = map[string]*vmRecord{}
	a.reported = map[string]bool{}
	a.unknown = map[string]time.Time{}
	a.nextSweep = now.Add(sweepInterval)
	a.SetCaps(now, caps)
	for _, p := range a.workspaces {
		p.operations = 0
	}
}

// SetCaps sets the caps in force. A workspace that had none begins with a full pool.
func (a *Allocator) SetCaps(now time.Time, caps map[string]Cap) {
	if a.workspaces == nil {
		a.workspaces = map[string]*pool{}
	}
	for name, p := range a.workspaces {
		limits, ok := caps[name]
		if !ok {
			a.removeWorkspace(name)
			continue
		}
		p.refill(now)
		p.limits = limits
		p.clip()
	}
	for name, limits := range caps {
		if a.workspaces[name] == nil {
			a.workspaces[name] = &pool{limits: limits, operations: limits.Limit(), refilledAt: now, demand: average{period: demandPeriod}}
		}
	}
}

func (a *Allocator) removeWorkspace(name string) {
	delete(a.workspaces, name)
	for _, v := range a.vms {
		delete(v.workspaces, name)
	}
}

// Renew records what a VM reports and returns its allowances.
func (a *Allocator) Renew(now time.Time, r Renewal) []*wire.Allowance {
	if len(a.workspaces) == 0 && len(r.Usage) == 0 {
		return nil
	}
	a.sweep(now)
	a.noteReport(now, r)
	r.Recovering = r.Recovering || len(a.unknown) > 0
	v := a.vms[r.VM]
	if v == nil {
		v = &vmRecord{workspaces: map[string]*part{}}
		a.vms[r.VM] = v
	}
	v.expiry = now.Add(a.Hold)
	reported := make(map[string]bool, len(r.Usage))
	var allowances []*wire.Allowance
	for _, u := range r.Usage {
		reported[u.GetWorkspace()] = true
		if allowance := a.renewWorkspace(now, v, r, u); allowance != nil {
			allowances = append(allowances, allowance)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.workspaces)) {
		switch {
		case reported[name]:
		case !r.Partial:
			a.drop(now, v, name)
		case v.workspaces[name].counted > 0 && v.workspaces[name].reserve && a.workspaces[name].reclaims(now):
			allowances = append(allowances, &wire.Allowance{Workspace: name})
		}
	}
	if len(v.workspaces) == 0 {
		delete(a.vms, r.VM)
	}
	return allowances
}

// noteReport records whether all is known of what the VM holds. What an earlier leader granted is not if
// the VM's first report in this term is partial.
func (a *Allocator) noteReport(now time.Time, r Renewal) {
	switch {
	case !r.Partial:
		a.reported[r.VM] = true
		delete(a.unknown, r.VM)
	case !a.reported[r.VM]:
		a.unknown[r.VM] = now.Add(a.Hold)
	}
}

func (a *Allocator) renewWorkspace(now time.Time, v *vmRecord, r Renewal, u *wire.WorkspaceUsage) *wire.Allowance {
	p := a.workspaces[u.GetWorkspace()]
	if p == nil {
		// The VM has not heard yet that the cap was removed.
		lacks := max(u.GetWanted(), u.GetHeld()) - u.GetHeld()
		return &wire.Allowance{Workspace: u.GetWorkspace(), Operations: lacks, Limit: u.GetHeld() + lacks}
	}
	part := v.part(u.GetWorkspace())
	p.record(now, part, u)
	if !r.Leased {
		if u.GetHeld() == 0 {
			return nil
		}
		return &wire.Allowance{Workspace: u.GetWorkspace()}
	}
	lacks := max(0, int(u.GetWanted())-int(u.GetHeld()))
	granted := p.share(u, lacks, r.Recovering)
	limit := p.heldLimit(u, granted)
	p.operations -= float64(granted)
	p.count(part, int(u.GetHeld())+granted, lacks-granted)
	allowance := &wire.Allowance{Workspace: u.GetWorkspace(), Operations: uint32(granted), Limit: uint32(limit)}
	if !r.Recovering && part.unmet > 0 {
		allowance.RetryMilliseconds = uint32(p.retryAfter(now, part.unmet).Milliseconds())
	}
	if granted == 0 && limit == int(u.GetHeld()) && allowance.GetRetryMilliseconds() == 0 {
		return nil
	}
	return allowance
}

// drop removes what a VM no longer reports.
func (a *Allocator) drop(now time.Time, v *vmRecord, name string) {
	if p := a.workspaces[name]; p != nil {
		p.refill(now)
		p.count(v.workspaces[name], 0, 0)
	}
	delete(v.workspaces, name)
}

// sweep removes the VMs whose leases have ended.
func (a *Allocator) sweep(now time.Time) {
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(sweepInterval)
	for vm, v := range a.vms {
		if now.Before(v.expiry) {
			continue
		}
		for name := range v.workspaces {
			a.drop(now, v, name)
		}
		delete(a.vms, vm)
	}
	for vm, until := range a.unknown {
		if !now.Before(until) {
			delete(a.unknown, vm)
		}
	}
}

// RequestInterval returns the least time between two early renewals of a VM, or 0 if VMs need no other than
// their own.
func (a *Allocator) RequestInterval() time.Duration {
	if interval := time.Duration(len(a.vms)) * time.Second / maxEarlyRate; interval > minRequestInterval {
		return interval
	}
	return 0
}

// Held returns the number of operations of a workspace that VMs may hold, and the number in its pool.
func (a *Allocator) Held(now time.Time, workspace string) (held int, pooled float64) {
	p := a.workspaces[workspace]
	if p == nil {
		return 0, 0
	}
	p.refill(now)
	return p.counted, p.operations
}

// Workspaces returns the names of the workspaces with a cap, sorted.
func (a *Allocator) Workspaces() []string {
	names := make([]string, 0, len(a.workspaces))
	for name := range a.workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (v *vmRecord) part(workspace string) *part {
	if v.workspaces[workspace] == nil {
		v.workspaces[workspace] = &part{}
	}
	return v.workspaces[workspace]
}

// refill adds what the rate allows for the time since the last refill.
func (p *pool) refill(now time.Time) {
	if now.After(p.refilledAt) {
		p.operations += p.limits.Rate * now.Sub(p.refilledAt).Seconds()
		p.refilledAt = now
	}
	p.clip()
}

// clip keeps the pool and what VMs may hold within the limit.
func (p *pool) clip() {
	p.operations = max(0, min(p.operations, p.limits.Limit()-float64(p.counted)))
}

// count replaces what a VM may hold and lacks.
func (p *pool) count(part *part, counted, unmet int) {
	p.counted += counted - part.counted
	p.unmet += unmet - part.unmet
	part.counted, part.unmet = counted, unmet
	p.clip()
}

// record takes a VM's report in. What the VM gave back unused returns to the pool. The number in the
// report is that since the last answer that the VM applied, so it is repeated if an answer was lost; what
// was counted and is neither held nor used bounds it.
func (p *pool) record(now time.Time, part *part, u *wire.WorkspaceUsage) {
	p.refill(now)
	part.reserve = isReserve(u)
	p.demand.add(now, float64(u.GetUsed()+u.GetRefused()))
	returned := min(int(u.GetReturned()), part.counted-int(u.GetHeld())-int(u.GetUsed()))
	p.count(part, int(u.GetHeld()), 0)
	p.operations += float64(max(0, returned))
	p.clip()
}

// share returns how many operations a VM is granted of those that it lacks. Operations that wait come
// first. Beyond them, a quarter of the limit stays in the pool for operations that wait elsewhere, unless
// the VM has refused operations: then the pool is divided in proportion to what VMs lack.
func (p *pool) share(u *wire.WorkspaceUsage, lacks int, recovering bool) int {
	available := int(math.Floor(p.operations))
	if recovering {
		// What VMs used was counted by the former leader, so that its replacement keeps the total.
		return min(lacks, int(u.GetUsed()), available)
	}
	granted := min(int(u.GetWaiting()), lacks, available)
	rest := lacks - granted
	available -= granted
	switch {
	case u.GetRefused() == 0:
		spare := int(math.Floor(p.operations - float64(granted) - p.limits.Limit()/4))
		rest = min(rest, max(0, spare))
	case p.unmet+rest > available:
		rest = min(rest, available, max(1, available*rest/(p.unmet+rest)))
	}
	return granted + rest
}

// heldLimit returns the most that a VM may hold from now on. It is lower than what the VM holds if the
// cap was lowered, or if the pool is short and the VM has used none of its reserve lately.
func (p *pool) heldLimit(u *wire.WorkspaceUsage, granted int) int {
	held := int(u.GetHeld())
	if limit := p.limits.Limit(); float64(p.counted) > limit {
		return int(math.Floor(limit * float64(held) / float64(p.counted)))
	}
	if isReserve(u) && p.short() {
		return 0
	}
	return held + granted
}

// isReserve reports whether a VM used nothing lately and wants no more than a reserve.
func isReserve(u *wire.WorkspaceUsage) bool {
	return u.GetUsed() == 0 && u.GetRefused() == 0 && u.GetWanted() <= 1
}

// short reports whether the pool has too little for owners without a reserve.
func (p *pool) short() bool { return p.operations < p.limits.Limit()/8 }

// reclaims reports whether VMs are to give their reserves back now.
func (p *pool) reclaims(now time.Time) bool {
	p.refill(now)
	return p.short()
}

// retryAfter returns when what VMs lack has been refilled, or 0 if the cap is not exhausted for a VM that
// lacks unmet operations.
func (p *pool) retryAfter(now time.Time, unmet int) time.Duration {
	short := p.operations < 1 || unmet > 1 && p.operations < float64(p.unmet)
	// If VMs hold half of the limit, their reserves are about to return to the pool.
	if !short || float64(p.counted) >= p.limits.Limit()/2 || p.demand.perSecond(now) <= p.limits.Rate {
		return 0
	}
	wait := time.Duration(float64(p.unmet) / p.limits.Rate * float64(time.Second))
	return min(maxRetry, max(minRetry, wait))
}
