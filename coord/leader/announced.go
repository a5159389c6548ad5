package leader

import (
	"maps"
	"slices"
	"time"

	"trefoilcourse/wire"
)

// announcedLife is how long a silent server of an announced group stays known: one that only
// the control VMs cannot hear still serves.
const announcedLife = 30 * time.Second

// recall takes over what earlier leaders recorded of an announced group: its servers, so that
// callers need not wait for the next announcements, and the VMs that may hold leases on it.
func (l *Leader) recall(now time.Time, name string, g *group) {
	g.recalled = true
	for slot, a := range l.State.Servers(name) {
		g.servers[slot] = &server{announcement: a, heard: now}
		g.machine.Announce(statusOf(now, a))
	}
	g.machine.Slots = slices.Sorted(maps.Keys(g.servers))
	recorded := l.State.Owners(name)
	g.owners = slices.Clone(recorded.GetVms())
	if recorded != nil {
		l.table.ExpectReports(name, slices.Concat(recorded.GetVms(), recorded.GetFormer()))
	}
}

// recordedFor returns the announced groups that an earlier leader gave to a VM.
func (l *Leader) recordedFor(vm string) []string {
	var owned []string
	for _, name := range l.names {
		if slices.Contains(l.State.Owners(name).GetVms(), vm) {
			owned = append(owned, name)
		}
	}
	return owned
}

// complete reports whether every lease of an earlier leader is known or has ended, so that the
// directory names all owners.
func (l *Leader) complete(now time.Time) bool {
	for _, name := range l.names {
		if l.table.RecoveringGroup(now, name) {
			return false
		}
	}
	return len(l.names) > 0 || !l.table.Recovering(now)
}

// unrecorded returns the commands that bring the record of an announced group up to date.
func (l *Leader) unrecorded(now time.Time, name string, g *group) []Action {
	var actions []Action
	if len(g.owners) > 0 && !slices.Equal(g.owners, l.State.Owners(name).GetVms()) {
		var former []string
		for _, vm := range l.table.Holders(now, name) {
			if !slices.Contains(g.owners, vm) {
				former = append(former, vm)
			}
		}
		actions = append(actions, Action{Group: name, Owners: &wire.Owners{Group: name, Vms: g.owners, Former: former}})
	}
	recorded := l.State.Servers(name)
	for _, slot := range slices.Sorted(maps.Keys(g.servers)) {
		a := g.servers[slot].announcement
		if known := recorded[slot]; known == nil || moved(known, a) {
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

// moved reports whether a server's announcement differs in what owners act on.
func moved(known, a *wire.Announcement) bool {
	return known.GetAddress() != a.GetAddress() || known.GetBorn() != a.GetBorn() ||
		known.GetLeaving() != a.GetLeaving() || known.GetFailureDomain() != a.GetFailureDomain() ||
		known.GetConcurrency() != a.GetConcurrency()
}

// ownersOf returns the VMs that leases are granted to: for an announced group those recorded, so
// that the next leader knows of all.
func (l *Leader) ownersOf(name string, g *group) []string {
	if g.machine.Announced {
		return l.State.Owners(name).GetVms()
	}
	return g.owners
}

// admit takes an announcement into an announced group and reports whether it tells of a server
// that is there. A late message, or one of an earlier start, changes nothing; a server that
// another has followed at its address is dropped.
func (g *group) admit(a *wire.Announcement) bool {
	old := g.servers[a.GetSlot()]
	unborn := a.GetGone() && a.GetBorn() == 0
	if old != nil && !unborn && earlier(a, old.announcement) {
		return false
	}
	if a.GetGone() {
		g.drop(a.GetSlot())
		return false
	}
	for slot, s := range g.servers {
		if slot == a.GetSlot() || s.announcement.GetAddress() != a.GetAddress() {
			continue
		}
		if s.announcement.GetBorn() > a.GetBorn() {
			return false
		}
		g.drop(slot)
	}
	if old == nil {
		g.machine.Slots = slices.Sorted(maps.Keys(g.servers))
		g.machine.Slots = append(g.machine.Slots, a.GetSlot())
		slices.Sort(g.machine.Slots)
	}
	return true
}

// earlier reports whether a was sent before b by the same server.
func earlier(a, b *wire.Announcement) bool {
	if a.GetBorn() != b.GetBorn() {
		return a.GetBorn() < b.GetBorn()
	}
	return a.GetSequence() < b.GetSequence()
}

// drop forgets a server of an announced group. If it was the primary, its owners find that it is
// not announced any more.
func (g *group) drop(slot string) {
	delete(g.servers, slot)
	g.machine.Forget(slot)
	g.machine.Slots = slices.Sorted(maps.Keys(g.servers))
	g.dirty = true
}
