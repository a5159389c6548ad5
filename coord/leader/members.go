package leader

import (
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/place"
	"trefoilcourse/wire"
)

// updateMember updates or creates the record of the requesting VM and returns it. It returns nil if
// the request is not newer than one already answered.
func (l *Leader) updateMember(now time.Time, r *wire.RenewRequest) *member {
	m := l.members[r.GetVm()]
	if m != nil && m.incarnation == r.GetIncarnation() && r.GetSequence() <= m.sequence {
		return nil
	}
	if m == nil || m.incarnation != r.GetIncarnation() {
		restarted := m != nil
		m = &member{incarnation: r.GetIncarnation(), joined: now}
		if l.leases.Recovering(now) {
			m.joined = now.Add(-joinDelay)
			m.owned = l.groupsOwnedBy(r.GetVm())
			l.ownersOutdated = true
		} else if l.joinsDue.IsZero() {
			l.joinsDue = now.Add(joinDelay)
		}
		l.members[r.GetVm()] = m
		l.ownersOutdated = l.ownersOutdated || restarted
	}
	if e := m.directoryEntry; e != nil && (e.GetDraining() != r.GetDraining() || e.GetFailureDomain() != r.GetFailureDomain()) {
		l.ownersOutdated = true
	}
	m.sequence = r.GetSequence()
	m.renewed = now
	m.configurationVersion = r.GetConfigurationVersion()
	m.capacity = int(r.GetCapacity())
	m.directoryEntry = &wire.Member{
		Vm: r.GetVm(), FailureDomain: r.GetFailureDomain(),
		LinkAddress: r.GetLinkAddress(), Draining: r.GetDraining(),
	}
	l.directory.PutMember(m.directoryEntry)
	return m
}

// expireMembers removes the members that have not renewed in time.
func (l *Leader) expireMembers(now time.Time) {
	if l.leases.Recovering(now) {
		return
	}
	for vm, m := range l.members {
		if now.Sub(m.renewed) > l.LeaseDuration+memberGrace {
			delete(l.members, vm)
			l.expired[vm] = m
			l.directory.DropMember(vm)
			l.ownersOutdated = true
		}
	}
}

// assignOwners reassigns the owners of all groups when the eligible VMs have changed.
func (l *Leader) assignOwners(now time.Time) {
	joined := !l.joinsDue.IsZero() && !now.Before(l.joinsDue)
	if !l.ownersOutdated && !joined || l.leases.Recovering(now) || now.Before(l.nextAssignment) {
		return
	}
	l.ownersOutdated = false
	l.nextAssignment = now.Add(assignInterval)
	l.joinsDue = time.Time{}
	l.assignments++
	var eligible []place.Member
	for _, vm := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[vm]
		m.owned = nil
		if due := m.joined.Add(joinDelay); now.Before(due) {
			if l.joinsDue.IsZero() || due.Before(l.joinsDue) {
				l.joinsDue = due
			}
			continue
		}
		if !m.directoryEntry.GetDraining() {
			eligible = append(eligible, place.Member{VM: vm, FailureDomain: m.directoryEntry.GetFailureDomain(), Capacity: m.capacity})
		}
	}
	loads := l.loads(now)
	for _, name := range l.groupNames {
		g := l.groups[name]
		before := g.owners
		g.owners = l.chooseOwners(now, name, g, eligible, loads)
		domains := map[string]string{}
		for _, vm := range g.owners {
			l.members[vm].owned = append(l.members[vm].owned, name)
			domains[vm] = l.members[vm].directoryEntry.GetFailureDomain()
		}
		g.failover.SetOwners(domains)
		if !slices.Equal(before, g.owners) {
			g.dirty = true
			l.updateGroupState(now, name, g)
		}
	}
}

// loads counts the announced groups that each VM owns. It is taken before any group gets new owners,
// so that a group that comes early in the order is not assigned to a VM that a later one retains.
// Leading counts as leaderLoad groups.
func (l *Leader) loads(now time.Time) map[string]int {
	loads := map[string]int{l.VM: leaderLoadGroups}
	for _, name := range l.groupNames {
		if g := l.groups[name]; g.failover.Announced {
			for _, vm := range l.currentOwners(now, name, g) {
				loads[vm]++
			}
		}
	}
	return loads
}

// currentOwners returns the owners of a group before reassignment: under a new leader, the VMs that
// hold leases on it.
func (l *Leader) currentOwners(now time.Time, name string, g *group) []string {
	if g.owners == nil {
		return l.leases.Holders(now, name)
	}
	return g.owners
}

// chooseOwners returns the owners for a group. An announced group retains its current owners as far
// as possible.
func (l *Leader) chooseOwners(now time.Time, name string, g *group, eligible []place.Member, loads map[string]int) []string {
	if !g.failover.Announced {
		return place.Owners(name, eligible, l.Owners)
	}
	current := l.currentOwners(now, name, g)
	reachable := g.excludeUnreachable(now, eligible)
	preferred := l.preferredDomains(g)
	previous := l.withoutMisplaced(now, g, reachable, current, preferred)
	owners := place.StickyOwners(name, reachable, previous, l.Owners, preferred, func(vm string) int { return loads[vm] })
	for _, vm := range owners {
		if !slices.Contains(current, vm) {
			loads[vm]++
		}
	}
	return owners
}

// preferredDomains returns the failure domains of a group's servers if owners are placed near them.
func (l *Leader) preferredDomains(g *group) map[string]bool {
	if !l.OwnersNearServers {
		return nil
	}
	domains := map[string]bool{}
	for _, s := range g.servers {
		domains[s.announcement.GetFailureDomain()] = true
	}
	return domains
}

// considerOwnerMove has the groups reassigned if an owner of the group is in a failure domain without
// servers of the group.
func (l *Leader) considerOwnerMove(now time.Time, g *group) {
	if !g.failover.Announced || now.Sub(g.ownerMoveChecked) < ownerMoveInterval {
		return
	}
	preferred := l.preferredDomains(g)
	if len(preferred) == 0 {
		return
	}
	g.ownerMoveChecked = now
	for _, vm := range g.owners {
		if m := l.members[vm]; m != nil && !preferred[m.directoryEntry.GetFailureDomain()] {
			l.ownersOutdated = true
		}
	}
}

// withoutMisplaced returns the current owners of a group without one that is to move nearer to the
// group's servers. A group moves an owner at most once in ownerMoveInterval, and none while its primary
// changes or leases of an earlier leader may still run.
func (l *Leader) withoutMisplaced(now time.Time, g *group, eligible []place.Member, current []string, preferred map[string]bool) []string {
	if len(preferred) == 0 || now.Sub(g.ownerMoved) < ownerMoveInterval || g.primaryChanging() || l.leases.Recovering(now) {
		return current
	}
	vm, ok := place.Misplaced(eligible, current, preferred)
	if !ok {
		return current
	}
	g.ownerMoved = now
	return slices.DeleteFunc(slices.Clone(current), func(owner string) bool { return owner == vm })
}

// excludeUnreachable returns the members that have not failed to reach the group's primary lately,
// or all if there are none.
func (g *group) excludeUnreachable(now time.Time, eligible []place.Member) []place.Member {
	if len(g.unreachableFrom) == 0 {
		return eligible
	}
	var kept []place.Member
	for _, m := range eligible {
		if since, ok := g.unreachableFrom[m.VM]; !ok || now.Sub(since) > unreachableCooldown {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return eligible
	}
	return kept
}

// updateUnreachable tracks the owners that cannot reach a primary that answers the control leader,
// and has the groups reassigned when they change.
func (l *Leader) updateUnreachable(now time.Time, g *group) {
	for vm, since := range g.unreachableFrom {
		if now.Sub(since) > unreachableCooldown {
			delete(g.unreachableFrom, vm)
			l.ownersOutdated = true
		}
	}
	if !g.failover.Announced {
		return
	}
	for _, vm := range g.failover.IsolatedOwners(now) {
		if _, ok := g.unreachableFrom[vm]; ok {
			continue
		}
		if g.unreachableFrom == nil {
			g.unreachableFrom = map[string]time.Time{}
		}
		g.unreachableFrom[vm] = now
		l.ownersOutdated = true
	}
}

// InForce reports whether every entry VM that may accept requests has confirmed a configuration
// version. It returns false in the first confirmWithin of a term: until then, VMs that only an
// earlier leader knew may still serve.
func (l *Leader) InForce(now time.Time, version uint64, confirmWithin time.Duration) bool {
	if version > l.configurationVersion || now.Sub(l.started) < confirmWithin {
		return false
	}
	for vm, m := range l.expired {
		if now.Sub(m.renewed) > confirmWithin {
			delete(l.expired, vm)
		} else if m.configurationVersion < version {
			return false
		}
	}
	for _, m := range l.members {
		if m.configurationVersion < version {
			return false
		}
	}
	return true
}
