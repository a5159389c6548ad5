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
