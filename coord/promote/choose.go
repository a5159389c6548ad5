package promote

import (
	"fmt"
	"maps"
	"time"

	"trefoilcourse/coord/session"
)

const (
	// repairInterval is the time between two rounds of repairs in steady; statuses older than it do
	// not count for the choice of the first primary.
	repairInterval = time.Second
	// announcedFollowerWait is how long a choice waits for the last replicas of an announced group,
	// since the writes that only a missing replica holds may be lost.
	announcedFollowerWait = 300 * time.Millisecond
	// firstPrimaryWait is how long a primary that no leader has recorded may take to answer once a
	// majority has. A server that starts announces itself well within it.
	firstPrimaryWait = 5 * time.Second
	// handoverCatchUpWait is how long replicas may take to receive what a reachable primary holds.
	handoverCatchUpWait = 800 * time.Millisecond
)

// tickBootstrap records the first primary of a group once a majority of its slots has answered. If none
// of them leads, an announced group gets one of its replicas after firstPrimaryWait.
func (g *Group) tickBootstrap(now time.Time) []Action {
	g.note = "waiting for a primary and a majority of the slots to answer"
	incarnations := map[string]string{}
	var primaries, replicas []Status
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if !ok || now.Sub(s.QueriedAt) > repairInterval || s.Incarnation == "" {
			continue
		}
		incarnations[slot] = s.Incarnation
		if s.Primary {
			primaries = append(primaries, s)
		} else {
			replicas = append(replicas, s)
		}
	}
	if len(incarnations) <= len(g.Slots)/2 {
		g.withoutPrimary = time.Time{}
		return g.query(now)
	}
	candidates := primaries
	if len(primaries) == 0 {
		if g.withoutPrimary.IsZero() {
			g.withoutPrimary = now
		}
		if !g.Announced || now.Sub(g.withoutPrimary) < firstPrimaryWait {
			return g.query(now)
		}
		candidates = g.excludeLeaving(replicas)
	}
	first, _ := g.chooseStatus(candidates)
	return []Action{{Record: &Primary{Term: max(1, first.Term), Slot: first.Slot, Incarnations: incarnations}}}
}

// tickChoosing chooses the highest position of a majority of the slots, queried after fencing
// ended.
func (g *Group) tickChoosing(now time.Time) []Action {
	statuses := g.statusesSince(g.enteredAt)
	needed := len(g.Slots)/2 + 1
	if g.Announced {
		needed = 1
	}
	enough := len(statuses) >= needed || g.acceptLoss && len(statuses) > 0
	if !enough {
		g.note = fmt.Sprintf("%d of %d slots answer with the data they promised to keep; %d are needed, or an operator accepts loss", len(statuses), len(g.Slots), needed)
		return g.query(now)
	}
	wait := followerWait
	if g.Announced {
		wait = announcedFollowerWait
	}
	if g.missingFollower(statuses) && now.Sub(g.enteredAt) < wait {
		return g.query(now)
	}
	if g.oldPrimaryAhead(statuses) && now.Sub(g.enteredAt) < handoverCatchUpWait {
		return g.query(now)
	}
	best, ok := g.chooseStatus(g.candidates(statuses, needed))
	if !ok {
		g.note = fmt.Sprintf("slot %q, which an operator chose, does not hold every acknowledged write", g.forcedSlot)
		return g.query(now)
	}
	if !g.acceptLoss && !g.holdsAcknowledged(best, statuses) {
		if best, _ = g.chooseStatus(statuses); !g.holdsAcknowledged(best, statuses) {
			g.note = "a replica that does not answer may hold acknowledged writes that no other has"
			return g.query(now)
		}
	}
	next := Primary{
		Term:         max(g.primary.Term, highestTerm(statuses)) + 1,
		Slot:         best.Slot,
		Incarnations: maps.Clone(g.primary.Incarnations),
	}
	g.forcedSlot = ""
	g.acceptLoss = false
	return []Action{{Record: &next}}
}

// missingFollower reports whether a slot other than the old primary's has not answered.
func (g *Group) missingFollower(statuses []Status) bool {
	followers := 0
	for _, s := range statuses {
		if s.Slot != g.primary.Slot {
			followers++
		}
	}
	return followers < len(g.Slots)-1
}

// excludeOldPrimary returns the statuses without that of the old primary if the others are as many
// as needed: they hold every acknowledged write, and the old primary may be partitioned from them. It
// returns all statuses otherwise, or if an operator chose the old primary's slot.
func (g *Group) excludeOldPrimary(statuses []Status, needed int) []Status {
	var others []Status
	for _, s := range statuses {
		if s.Slot != g.primary.Slot {
			others = append(others, s)
		}
	}
	if len(others) >= needed && g.forcedSlot != g.primary.Slot {
		return others
	}
	return statuses
}

// oldPrimaryAhead reports whether the old primary of an announced group has answered and is ahead
// of all others, which may still receive the rest from it.
func (g *Group) oldPrimaryAhead(statuses []Status) bool {
	if !g.Announced {
		return false
	}
	old, highest := session.Position{}, session.Position{}
	for _, s := range statuses {
		if s.Slot == g.primary.Slot {
			old = s.Position
		} else if highest.Less(s.Position) {
			highest = s.Position
		}
	}
	return highest.Less(old)
}

// excludeLeaving returns the statuses without those of servers of an announced group that are about
// to stop, or all if no others remain.
func (g *Group) excludeLeaving(statuses []Status) []Status {
	if !g.Announced {
		return statuses
	}
	var kept []Status
	for _, s := range statuses {
		if !g.announcements[s.Slot].Leaving {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return statuses
	}
	return kept
}

// statusesSince returns the statuses of admitted servers that were queried at or after at.
func (g *Group) statusesSince(at time.Time) []Status {
	var fresh []Status
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if ok && !s.QueriedAt.Before(at) && g.isAdmitted(s) {
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// chooseStatus returns the status with the highest position, or that of the operator's slot if its
// position is as high or loss is accepted.
func (g *Group) chooseStatus(statuses []Status) (Status, bool) {
	best := statuses[0]
	for _, s := range statuses[1:] {
		if best.Position.Less(s.Position) {
			best = s
		}
	}
	if g.forcedSlot == "" {
		return best, true
	}
	for _, s := range statuses {
		if s.Slot == g.forcedSlot && (g.acceptLoss || !s.Position.Less(best.Position)) {
			return s, true
		}
	}
	return Status{}, false
}

func highestTerm(statuses []Status) uint64 {
	highest := uint64(0)
	for _, s := range statuses {
		highest = max(highest, s.Term, s.Position.Term)
	}
	return highest
}

// admission returns the recorded primary with one more admitted incarnation: that of a server with
// the current term and a position not below the primary's when the incarnation was first seen.
func (g *Group) admission(now time.Time) (Primary, bool) {
	primary, ok := g.statuses[g.primary.Slot]
	if !ok || !primary.Primary || primary.Term != g.primary.Term {
		return Primary{}, false
	}
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if !ok || g.isAdmitted(s) || s.Primary || s.Incarnation == "" || s.Term != g.primary.Term {
			continue
		}
		if g.trackCatchUp(now, s, primary) {
			next := g.primary
			next.Incarnations = maps.Clone(g.primary.Incarnations)
			next.Incarnations[slot] = s.Incarnation
			return next, true
		}
	}
	return Primary{}, false
}

// trackCatchUp reports whether a server has reached its admission target. It creates the target when
// an incarnation is first seen and sets its position from the primary's first status queried after
// that.
func (g *Group) trackCatchUp(now time.Time, s, primary Status) bool {
	if g.admissionTargets == nil {
		g.admissionTargets = map[string]admissionTarget{}
	}
	target, ok := g.admissionTargets[s.Slot]
	if !ok || target.incarnation != s.Incarnation {
		g.admissionTargets[s.Slot] = admissionTarget{incarnation: s.Incarnation, firstSeen: now}
		return false
	}
	if target.position == (session.Position{}) {
		if primary.QueriedAt.After(target.firstSeen) {
			target.position = primary.Position
			g.admissionTargets[s.Slot] = target
		}
		return false
	}
	return !s.Position.Less(target.position)
}

// admissionTarget is the primary's position, queried after a new incarnation was first seen. The
// previous incarnation in the slot had ended by then, so the position covers every write that was
// acknowledged by counting that incarnation.
type admissionTarget struct {
	incarnation string
	firstSeen   time.Time
	position    session.Position
}
