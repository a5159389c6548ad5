package leader

import (
	"maps"
	"slices"
	"time"

	"trefoilcourse/wire"
)

// announcedServerTimeout is how long a silent server of an announced group stays known. It is longer
// than serverTimeout, since a server that only the control VMs cannot hear still serves.
const announcedServerTimeout = 30 * time.Second

// loadRecordedState loads what earlier leaders recorded about an announced group: its servers, so that
// callers need not wait for the next announcements, and the VMs that may hold leases on it.
func (l *Leader) loadRecordedState(now time.Time, name string, g *group) {
	g.recordedStateLoaded = true
	for slot, a := range l.State.Servers(name) {
		g.servers[slot] = &server{announcement: a, lastHeard: now}
		g.failover.UpdateAnnouncement(statusOf(now, a))
	}
	g.failover.Slots = slices.Sorted(maps.Keys(g.servers))
	recorded := l.State.Owners(name)
	g.owners = slices.Clone(recorded.GetVms())
	if recorded != nil {
		l.leases.ExpectReports(name, slices.Concat(recorded.GetVms(), recorded.GetFormer()))
	}
}

// groupsOwnedBy returns the groups of which a VM is a recorded owner.
func (l *Leader) groupsOwnedBy(vm string) []string {
	var owned []string
	for _, name := range l.groupNames {
		if slices.Contains(l.State.Owners(name).GetVms(), vm) {
			owned = append(owned, name)
		}
	}
	return owned
}

// recoveryComplete reports whether every lease of an earlier leader is known or has expired, so that
// the directory lists all owners.
func (l *Leader) recoveryComplete(now time.Time) bool {
	for _, name := range l.groupNames {
		if l.leases.GroupRecovering(now, name) {
			return false
		}
	}
	return len(l.groupNames) > 0 || !l.leases.Recovering(now)
}

// recordActions returns the actions that update the recorded owners and servers of an announced
// group.
func (l *Leader) recordActions(now time.Time, name string, g *group) []Action {
	var actions []Action
	if len(g.owners) > 0 && !slices.Equal(g.owners, l.State.Owners(name).GetVms()) {
		var former []string
		for _, vm := range l.leases.Holders(now, name) {
			if !slices.Contains(g.owners, vm) {
				former = append(former, vm)
			}
		}
		actions = append(actions, Action{Group: name, Owners: &wire.Owners{Group: name, Vms: g.owners, Former: former}})
	}
	recorded := l.State.Servers(name)
	for _, slot := range slices.Sorted(maps.Keys(g.servers)) {
		a := g.servers[slot].announcement
		if known := recorded[slot]; known == nil || recordOutdated(known, a) {
			actions = append(actions, Action{Group: name, Server: a})
		}
	}
	for _, slot := range slices.Sorted(maps.Keys(recorded)) {
		if g.servers[slot] == nil {
			actions = append(actions, Action{Group: name, Server: &wire.Announcement{Group: name, Slot: slot, Gone: true}})
		}
	}
	return actions
}

// recordOutdated reports whether an announcement differs from the recorded one in a field that
// owners act on.
func recordOutdated(recorded, a *wire.Announcement) bool {
	return recorded.GetAddress() != a.GetAddress() || recorded.GetBorn() != a.GetBorn() ||
		recorded.GetLeaving() != a.GetLeaving() || recorded.GetFailureDomain() != a.GetFailureDomain() ||
		recorded.GetConcurrency() != a.GetConcurrency()
}

// leaseOwners returns the VMs that are granted leases: for an announced group only recorded owners,
// so that the next leader knows all possible holders.
func (l *Leader) leaseOwners(name string, g *group) []string {
	if g.failover.Announced {
		return l.State.Owners(name).GetVms()
	}
	return g.owners
}

// formerOwners returns the VMs that own a group no more and may still hold a lease on it.
func (l *Leader) formerOwners(name string, g *group) []string {
	if g.failover.Announced {
		return l.State.Owners(name).GetFormer()
	}
	return nil
}

// acceptAnnouncement updates the server list of an announced group and reports whether the
// announcement is to be stored. Announcements sent before the stored one, or from an earlier start
// of the server, are ignored; of two servers at one address, the one that started earlier is removed.
func (g *group) acceptAnnouncement(a *wire.Announcement) bool {
	old := g.servers[a.GetSlot()]
	// A sender that does not know when the server started leaves Born at 0; its announcement that
	// the server is gone applies to any start.
	goneWithUnknownStart := a.GetGone() && a.GetBorn() == 0
	if old != nil && !goneWithUnknownStart && sentBefore(a, old.announcement) {
		return false
	}
	if a.GetGone() {
		g.dropServer(a.GetSlot())
		return false
	}
	for slot, s := range g.servers {
		if slot == a.GetSlot() || s.announcement.GetAddress() != a.GetAddress() {
			continue
		}
		if s.announcement.GetBorn() > a.GetBorn() {
			return false
		}
		g.dropServer(slot)
	}
	if old == nil {
		g.failover.Slots = slices.Sorted(maps.Keys(g.servers))
		g.failover.Slots = append(g.failover.Slots, a.GetSlot())
		slices.Sort(g.failover.Slots)
	}
	return true
}

// sentBefore reports whether a was sent before b; both are announcements of the same server.
func sentBefore(a, b *wire.Announcement) bool {
	if a.GetBorn() != b.GetBorn() {
		return a.GetBorn() < b.GetBorn()
	}
	return a.GetSequence() < b.GetSequence()
}

// dropServer removes a server of an announced group. If it was the primary, the owners see that it
// is no longer announced.
func (g *group) dropServer(slot string) {
	delete(g.servers, slot)
	g.failover.RemoveServer(slot)
	g.failover.Slots = slices.Sorted(maps.Keys(g.servers))
	g.dirty = true
}
