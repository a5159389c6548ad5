package promote

import "time"

// HandoverPending reports whether the primary is to be closed within Notice.
func (g *Group) HandoverPending() bool { return g.State() == Steady && !g.leavingSince.IsZero() }

// updateLeaving updates leavingSince and reports whether the primary is to be closed now.
func (g *Group) updateLeaving(now time.Time) bool {
	switch {
	case !g.primaryLeaving(now):
		g.leavingSince = time.Time{}
		return false
	case g.leavingSince.IsZero():
		g.leavingSince = now
	}
	return now.Sub(g.leavingSince) >= g.Notice
}

// primaryLeaving reports whether the primary has announced that it is about to stop and enough
// other servers remain: a majority of the slots, or one server of an announced group.
func (g *Group) primaryLeaving(now time.Time) bool {
	if !g.announcements[g.primary.Slot].Leaving {
		return false
	}
	remaining := 0
	for slot, a := range g.announcements {
		fresh := now.Sub(a.QueriedAt) < announcementTTL
		if slot != g.primary.Slot && fresh && !a.Leaving && g.isAdmitted(a) && (g.Announced || a.Term == g.primary.Term) {
			remaining++
		}
	}
	if g.Announced {
		return remaining > 0
	}
	return remaining > len(g.Slots)/2
}

// tickClosing waits until the owners have finished what they began on the primary.
func (g *Group) tickClosing(now time.Time, fenced bool) []Action {
	g.note = leavingNote
	if g.loadHandover {
		g.note = overloadedNote
	}
	if g.suspected(now) || now.Sub(g.enteredAt) >= closingTimeout {
		g.transition(now, "confirmed")
		return nil
	}
	if fenced {
		g.transition(now, "fenced")
		return g.query(now)
	}
	return nil
}
