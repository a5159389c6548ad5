package promote

import "time"

const (
	// reliefPause is the least time between two hand-overs of one group for its load: replicas that
	// lag catch up within it, and a hand-over costs callers a second.
	reliefPause = 30 * time.Second
	// reliefGap is how many records a replica may be short of the primary, by answers that were
	// asked for at the same time, to count as having received all that is there.
	reliefGap = 16
	// reliefStatusLife is how old those answers may be.
	reliefStatusLife = 500 * time.Millisecond
)

const reliefNote = "the primary is overloaded and its replicas lag; owners finish what they began on it"

// A replica that applies late serves no reads, but holds all that it has received, and leads with
// that at once. A group whose replicas all lag has one server for everything; handed over to one
// of them it has two, since the primary becomes a replica that does not lag.

// overloaded reports whether a majority of the owners that are heard find the primary overloaded.
func (g *Group) overloaded(now time.Time) bool {
	if !g.Announced {
		return false
	}
	heard, found := 0, 0
	for vm := range g.owners {
		o, ok := g.observations[vm]
		if !ok || now.Sub(o.at) > observationLife {
			continue
		}
		heard++
		if o.Health == Overloaded {
			found++
		}
	}
	return found > heard/2
}

// relievable reports whether a replica has received all that the primary holds, so that a
// hand-over loses nothing and is over soon.
func (g *Group) relievable(now time.Time) bool {
	primary, ok := g.statuses[g.primary.Slot]
	if !ok || now.Sub(primary.QueriedAt) > reliefStatusLife || !g.healthy(primary) {
		return false
	}
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if slot != g.primary.Slot && ok && now.Sub(s.QueriedAt) <= reliefStatusLife && g.counts(s) &&
			!g.announced[slot].Leaving && s.Position.Term == primary.Position.Term &&
			s.Position.Offset+reliefGap >= primary.Position.Offset {
			return true
		}
	}
	return false
}

// candidates returns the answers among which the next primary is chosen. A primary that is only
// to be relieved stays if no replica holds all that it does.
func (g *Group) candidates(answers []Status, needed int) []Status {
	if g.relieving && g.behindOld(answers) {
		return answers
	}
	return g.staying(g.withoutOld(answers, needed))
}
