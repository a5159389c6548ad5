package promote

import (
	"fmt"
	"maps"
	"time"

	"trefoilcourse/coord/session"
)

const (
	repairInterval = time.Second
	// announcedGrace is how long a choice waits for the last replicas of an announced group:
	// what the missing one holds may be lost with the choice.
	announcedGrace = 300 * time.Millisecond
	// handOverGrace is how long replicas may take to receive what a reachable primary holds.
	handOverGrace = 800 * time.Millisecond
)

// tickFirst records the first primary of a group once a majority of its slots has answered.
func (g *Group) tickFirst(now time.Time) []Action {
	g.note = "waiting for a primary and a majority of the slots to answer"
	incarnations := map[string]string{}
	var primary *Status
	for slot, s := range g.statuses {
		if now.Sub(s.QueriedAt) > repairInterval || s.Incarnation == "" {
			continue
		}
		incarnations[slot] = s.Incarnation
		if s.Primary && (primary == nil || primary.Position.Less(s.Position)) {
			primary = &s
		}
	}
	if primary == nil || len(incarnations) <= len(g.Slots)/2 {
		return g.query(now)
	}
	first := Primary{Term: max(1, primary.Term), Slot: primary.Slot, Incarnations: incarnations}
	return []Action{{Record: &first}}
}

// tickChoosing takes the highest position of a majority of slots, asked since fencing ended.
func (g *Group) tickChoosing(now time.Time) []Action {
	answers := g.answersSince(g.since)
	needed := len(g.Slots)/2 + 1
	if g.Announced {
		needed = 1
	}
	enough := len(answers) >= needed || g.acceptLoss && len(answers) > 0
	if !enough {
		g.note = fmt.Sprintf("%d of %d slots answer with the data they promised to keep; %d are needed, or an operator accepts loss", len(answers), len(g.Slots), needed)
		return g.query(now)
	}
	grace := chooseGrace
	if g.Announced {
		grace = announcedGrace
	}
	if g.missesFollower(answers) && now.Sub(g.since) < grace {
		return g.query(now)
	}
	if g.behindOld(answers) && now.Sub(g.since) < handOverGrace {
		return g.query(now)
	}
	best, ok := g.best(g.candidates(answers, needed))
	if !ok {
		g.note = fmt.Sprintf("slot %q, which an operator chose, does not hold every acknowledged write", g.forced)
		return g.query(now)
	}
	next := Primary{
		Term:         max(g.primary.Term, highestTerm(answers)) + 1,
		Slot:         best.Slot,
		Incarnations: maps.Clone(g.primary.Incarnations),
	}
	g.forced = ""
	g.acceptLoss = false
	return []Action{{Record: &next}}
}

// missesFollower reports whether a slot other than the old primary's has not answered.
func (g *Group) missesFollower(answers []Status) bool {
	followers := 0
	for _, s := range answers {
		if s.Slot != g.primary.Slot {
			followers++
		}
	}
	return followers < len(g.Slots)-1
}

// withoutOld leaves the old primary out if the others are a majority by themselves: they hold
// every acknowledged write, and the old primary may be cut off from them.
func (g *Group) withoutOld(answers []Status, needed int) []Status {
	var others []Status
	for _, s := range answers {
		if s.Slot != g.primary.Slot {
			others = append(others, s)
		}
	}
	if len(others) >= needed && g.forced != g.primary.Slot {
		return others
	}
	return answers
}

// behindOld reports whether the old primary of an announced group answers and is ahead of all
// others, which may still receive the rest from it.
func (g *Group) behindOld(answers []Status) bool {
	if !g.Announced {
		return false
	}
	old, highest := session.Position{}, session.Position{}
	for _, s := range answers {
		if s.Slot == g.primary.Slot {
			old = s.Position
		} else if highest.Less(s.Position) {
			highest = s.Position
		}
	}
	return highest.Less(old)
}

// staying leaves out servers that leave or that another server's term has overtaken, unless no
// other answers.
func (g *Group) staying(answers []Status) []Status {
	if !g.Announced {
		return answers
	}
	var kept []Status
	for _, s := range answers {
		if !g.announced[s.Slot].Leaving {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return answers
	}
	return kept
}

func (g *Group) answersSince(at time.Time) []Status {
	var answers []Status
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if ok && !s.QueriedAt.Before(at) && g.counts(s) {
			answers = append(answers, s)
		}
	}
	return answers
}

// best returns the answer with the highest position, or the operator's slot if that is as high.
func (g *Group) best(answers []Status) (Status, bool) {
	best := answers[0]
	for _, s := range answers[1:] {
		if best.Position.Less(s.Position) {
			best = s
		}
	}
	if g.forced == "" {
		return best, true
	}
	for _, s := range answers {
		if s.Slot == g.forced && (g.acceptLoss || !s.Position.Less(best.Position)) {
			return s, true
		}
	}
	return Status{}, false
}

func highestTerm(answers []Status) uint64 {
	highest := uint64(0)
	for _, s := range answers {
		highest = max(highest, s.Term, s.Position.Term)
	}
	return highest
}

// admission returns the recorded primary with one more incarnation that may count: a server
// that answered with the current term and a position no lower than the primary had when the
// incarnation was first seen.
func (g *Group) admission(now time.Time) (Primary, bool) {
	primary, ok := g.statuses[g.primary.Slot]
	if !ok || !primary.Primary || primary.Term != g.primary.Term {
		return Primary{}, false
	}
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		if !ok || g.counts(s) || s.Primary || s.Incarnation == "" || s.Term != g.primary.Term {
			continue
		}
		if g.caughtUp(now, s, primary) {
			next := g.primary
			next.Incarnations = maps.Clone(g.primary.Incarnations)
			next.Incarnations[slot] = s.Incarnation
			return next, true
		}
	}
	return Primary{}, false
}

// caughtUp compares a newcomer with the primary's position when it was first seen.
func (g *Group) caughtUp(now time.Time, s, primary Status) bool {
	if g.marks == nil {
		g.marks = map[string]mark{}
	}
	m, ok := g.marks[s.Slot]
	if !ok || m.incarnation != s.Incarnation {
		g.marks[s.Slot] = mark{incarnation: s.Incarnation, seen: now}
		return false
	}
	if m.at == (session.Position{}) {
		if primary.QueriedAt.After(m.seen) {
			m.at = primary.Position
			g.marks[s.Slot] = m
		}
		return false
	}
	return !s.Position.Less(m.at)
}

// mark is the primary's position, asked after a newcomer was first seen; its predecessor in
// the slot had ended by then, so that the position covers all that was acknowledged with it.
type mark struct {
	incarnation string
	seen        time.Time
	at          session.Position
}
