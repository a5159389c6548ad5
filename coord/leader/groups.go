package leader

import (
	"time"

	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/promote"
	"trefoilcourse/wire"
)

// steadyInterval is the time between two looks at a group with which nothing happens.
const steadyInterval = 500 * time.Millisecond

// Tick lets time pass and returns what is to be done to backend servers and the log. Groups
// with which nothing happens cost nothing but now and then.
func (l *Leader) Tick(now time.Time) []Action {
	l.configure(now)
	l.dropSilent(now)
	l.assign(now)
	if recorded := l.State.Recorded(); recorded != l.recorded {
		l.recorded = recorded
		for _, g := range l.groups {
			g.dirty = true
		}
	}
	var actions []Action
	for _, name := range l.names {
		g := l.groups[name]
		if !g.dirty && now.Before(g.due) {
			continue
		}
		actions = append(actions, l.tickGroup(now, name, g)...)
	}
	return actions
}

func (l *Leader) tickGroup(now time.Time, name string, g *group) []Action {
	for slot, s := range g.servers {
		switch {
		case g.machine.Announced:
			if now.Sub(s.heard) > announcedLife && slot != g.machine.Primary().Slot {
				g.drop(slot)
			}
		case now.Sub(s.heard) > serverLife:
			delete(g.servers, slot)
		}
	}
	before := g.machine.State()
	if recorded := primaryOf(l.State, name); recorded.Term > 0 {
		g.machine.Recorded(now, recorded)
	}
	fenced := l.table.Fenced(now, name, g.machine.Primary().Term)
	var actions []Action
	for _, a := range g.machine.Tick(now, fenced) {
		if a.Promote != nil && g.machine.Announced && l.table.Recovering(now) {
			// An earlier leader's order may still be under way.
			continue
		}
		actions = append(actions, Action{Group: name, Action: a})
	}
	if after := g.machine.State(); after != before {
		actions = append(actions, Action{Group: name, Transition: &Transition{before, after, g.machine.Note(), g.machine.Evidence(now)}})
	}
	if g.machine.Announced {
		actions = append(actions, l.unrecorded(now, name, g)...)
	}
	l.noteBlind(now, g)
	l.publish(name, g)
	g.dirty = g.machine.State() != promote.Steady || g.machine.Primary().Term == 0 || len(actions) > 0
	g.due = now.Add(steadyInterval)
	return actions
}

// publish brings a group's lease terms and directory entry up to date.
func (l *Leader) publish(name string, g *group) {
	primary := g.machine.Primary()
	limit := l.set.Groups[name].Connections - len(g.machine.Slots)*controlConnections
	if g.machine.Announced {
		limit = l.set.Groups[name].Connections - controlConnections
	}
	l.table.SetGroup(name, lease.Group{
		Term: g.machine.AckTerm(), Closing: g.machine.Closing(), Limit: limit, Owners: l.ownersOf(name, g),
	})
	entry := &wire.GroupState{Group: name, Term: primary.Term, PrimarySlot: primary.Slot, Owners: l.ownersOf(name, g), Closing: g.machine.Closing()}
	for _, slot := range g.machine.Slots {
		s := g.servers[slot]
		if s == nil {
			continue
		}
		a := s.announcement
		entry.Servers = append(entry.Servers, &wire.Server{
			Slot: slot, Incarnation: a.GetIncarnation(), Address: a.GetAddress(),
			FailureDomain: a.GetFailureDomain(), Leaving: a.GetLeaving(),
			Admitted:    primary.Incarnations[slot] == a.GetIncarnation(),
			Concurrency: a.GetConcurrency(),
		})
	}
	l.directory.putGroup(entry)
}
