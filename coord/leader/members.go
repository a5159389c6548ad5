package leader

import (
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/place"
	"trefoilcourse/wire"
)

// member finds or makes the record of the asking VM; nil means that the message is older than
// one already answered.
func (l *Leader) member(now time.Time, r *wire.RenewRequest) *member {
	m := l.members[r.GetVm()]
	if m != nil && m.life == r.GetIncarnation() && r.GetSequence() <= m.sequence {
		return nil
	}
	if m == nil || m.life != r.GetIncarnation() {
		m = &member{life: r.GetIncarnation(), joined: now}
		if l.table.Recovering(now) {
			m.joined = now.Add(-joinDelay)
			m.owned = l.recordedFor(r.GetVm())
		}
		l.members[r.GetVm()] = m
		l.stale = true
	}
	l.stale = l.stale || m.wire.GetDraining() != r.GetDraining() || m.wire.GetFailureDomain() != r.GetFailureDomain()
	m.sequence = r.GetSequence()
	m.renewed = now
	m.version = r.GetConfigurationVersion()
	m.capacity = int(r.GetCapacity())
	m.wire = &wire.Member{
		Vm: r.GetVm(), FailureDomain: r.GetFailureDomain(),
		LinkAddress: r.GetLinkAddress(), Draining: r.GetDraining(),
	}
	l.directory.putMember(m.wire)
	return m
}

// dropSilent forgets the VMs that have fallen silent.
func (l *Leader) dropSilent(now time.Time) {
	if l.table.Recovering(now) {
		return
	}
	for vm, m := range l.members {
		if now.Sub(m.renewed) > l.LeaseDuration+memberGrace {
			delete(l.members, vm)
			l.departed[vm] = m
			l.directory.dropMember(vm)
			l.stale = true
		}
	}
}

// assign gives groups to owners anew when the VMs that can own have changed.
func (l *Leader) assign(now time.Time) {
	if !l.stale || l.table.Recovering(now) {
		return
	}
	l.stale = false
	var able []place.Member
	for _, vm := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[vm]
		m.owned = nil
		if now.Sub(m.joined) < joinDelay {
			l.stale = true
			continue
		}
		if !m.wire.GetDraining() {
			able = append(able, place.Member{VM: vm, FailureDomain: m.wire.GetFailureDomain(), Capacity: m.capacity})
		}
	}
	loads := l.loads(now)
	for _, name := range l.names {
		g := l.groups[name]
		g.owners = l.choose(now, name, g, able, loads)
		domains := map[string]string{}
		for _, vm := range g.owners {
			l.members[vm].owned = append(l.members[vm].owned, name)
			domains[vm] = l.members[vm].wire.GetFailureDomain()
		}
		g.machine.SetOwners(domains)
		l.publish(name, g)
	}
}

// loads counts the announced groups that each VM owns, before any of them gets new owners: a
// group that is looked at early must not be given to the VM that a later one will keep. Leading
// counts as a group.
func (l *Leader) loads(now time.Time) map[string]int {
	loads := map[string]int{l.VM: leadingLoad}
	for _, name := range l.names {
		if g := l.groups[name]; g.machine.Announced {
			for _, vm := range l.ownersBefore(now, name, g) {
				loads[vm]++
			}
		}
	}
	return loads
}

// ownersBefore returns the owners that a group has had so far: under a new leader, the VMs that
// hold leases.
func (l *Leader) ownersBefore(now time.Time, name string, g *group) []string {
	if g.owners == nil {
		return l.table.Holders(now, name)
	}
	return g.owners
}

// choose returns the owners of a group. Those of an announced group change only when they must.
func (l *Leader) choose(now time.Time, name string, g *group, able []place.Member, loads map[string]int) []string {
	if !g.machine.Announced {
		return place.Owners(name, able, l.Owners)
	}
	before := l.ownersBefore(now, name, g)
	owners := place.StickyOwners(name, g.sighted(now, able), before, l.Owners, func(vm string) int { return loads[vm] })
	for _, vm := range owners {
		if !slices.Contains(before, vm) {
			loads[vm]++
		}
	}
	return owners
}

// sighted leaves out the VMs that cannot reach the group's primary, unless too few remain.
func (g *group) sighted(now time.Time, able []place.Member) []place.Member {
	var kept []place.Member
	for _, m := range able {
		if since, ok := g.blind[m.VM]; !ok || now.Sub(since) > blindLife {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return able
	}
	return kept
}

// noteBlind moves a group away from owners that cannot reach a primary that answers others.
func (l *Leader) noteBlind(now time.Time, g *group) {
	for vm, since := range g.blind {
		if now.Sub(since) > blindLife {
			delete(g.blind, vm)
			l.stale = true
		}
	}
	if !g.machine.Announced {
		return
	}
	for _, vm := range g.machine.Blind(now) {
		if _, ok := g.blind[vm]; ok {
			continue
		}
		if g.blind == nil {
			g.blind = map[string]time.Time{}
		}
		g.blind[vm] = now
		l.stale = true
	}
}

// InForce reports whether every entry VM that may take work has confirmed a configuration
// version; it is never true before an earlier leader's VMs are known or have stopped.
func (l *Leader) InForce(now time.Time, version uint64, confirmWithin time.Duration) bool {
	if version > l.version || now.Sub(l.started) < confirmWithin {
		return false
	}
	for vm, m := range l.departed {
		if now.Sub(m.renewed) > confirmWithin {
			delete(l.departed, vm)
		} else if m.version < version {
			return false
		}
	}
	for _, m := range l.members {
		if m.version < version {
			return false
		}
	}
	return true
}
