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
		if l.table.Adopting(now) {
			m.joined = now.Add(-joinDelay)
		}
		l.members[r.GetVm()] = m
		l.stale = true
	}
	l.stale = l.stale || m.wire.GetDraining() != r.GetDraining() || m.wire.GetFailureDomain() != r.GetFailureDomain()
	m.sequence = r.GetSequence()
	m.renewed = now
	m.version = r.GetConfigurationVersion()
	m.wire = &wire.Member{
		Vm: r.GetVm(), FailureDomain: r.GetFailureDomain(),
		LinkAddress: r.GetLinkAddress(), Draining: r.GetDraining(),
	}
	l.directory.putMember(m.wire)
	return m
}

// dropSilent forgets the VMs that have fallen silent.
func (l *Leader) dropSilent(now time.Time) {
	if l.table.Adopting(now) {
		return
	}
	for vm, m := range l.members {
		if now.Sub(m.renewed) > memberLife {
			delete(l.members, vm)
			l.departed[vm] = m
			l.directory.dropMember(vm)
			l.stale = true
		}
	}
}

// assign gives groups to owners anew when the VMs that can own have changed.
func (l *Leader) assign(now time.Time) {
	if !l.stale || l.table.Adopting(now) {
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
			able = append(able, place.Member{VM: vm, FailureDomain: m.wire.GetFailureDomain()})
		}
	}
	for _, name := range l.names {
		g := l.groups[name]
		g.owners = place.Owners(name, able, l.Owners)
		domains := map[string]string{}
		for _, vm := range g.owners {
			l.members[vm].owned = append(l.members[vm].owned, name)
			domains[vm] = l.members[vm].wire.GetFailureDomain()
		}
		g.machine.SetOwners(domains)
		l.publish(name, g)
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
