package promote

import "time"

const (
	// loadHandoverInterval is the least time between two handovers of a group because of load.
	// Lagging replicas catch up within it, and a handover costs callers a second.
	loadHandoverInterval = 30 * time.Second
	// loadHandoverMaxGap is how many records a replica may be behind the primary, by statuses
	// queried at the same time, and still count as having received everything.
	loadHandoverMaxGap = 16
	// loadHandoverStatusTTL is the maximum age of those statuses.
	loadHandoverStatusTTL = 500 * time.Millisecond
)

const overloadedNote = "the primary is overloaded and its replicas lag; owners finish what they began on it"

// overloaded reports whether a majority of the owners heard from recently find the primary
// overloaded.
//
// A replica that lags in replay serves no reads, but holds all that it has received and can lead
// with it at once. If all replicas of a group lag, one server handles every request; after a
// handover to one of them two do, since the old primary becomes a replica that does not lag.
func (g *Group) overloaded(now time.Time) bool {
	if !g.Announced {
		return false
	}
	reporting, overloaded := 0, 0
	for vm := range g.ownerDomains {
		o, ok := g.observations[vm]
		if !ok || now.Sub(o.receivedAt) > observationTTL {
			continue
		}
		reporting++
		if o.Health == Overloaded {
			overloaded++
		}
	}
	return overloaded > reporting/2
}

// canHandOverLoad reports whether a replica has received what the primary holds, so that a handover
// loses nothing and completes quickly.
func (g *Group) canHandOverLoad(now time.Time) bool {
	primary, ok := g.statuses[g.primary.Slot]
	if !ok || now.Sub(primary.QueriedAt) > loadHandoverStatusTTL || !g.healthy(primary) {
		return false
	}
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if slot != g.primary.Slot && ok && now.Sub(s.QueriedAt) <= loadHandoverStatusTTL && g.isAdmitted(s) &&
			!g.announcements[slot].Leaving && s.Position.Term == primary.Position.Term &&
			s.Position.Offset+loadHandoverMaxGap >= primary.Position.Offset {
			return true
		}
	}
	return false
}

// candidates returns the statuses among which the next primary is chosen. In a handover because of
// load the primary stays if no replica holds all that it does.
func (g *Group) candidates(statuses []Status, needed int) []Status {
	if g.loadHandover && g.oldPrimaryAhead(statuses) {
		return statuses
	}
	return g.excludeLeaving(g.excludeOldPrimary(statuses, needed))
}
