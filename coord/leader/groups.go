package leader

import (
	"time"

	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/promote"
	"trefoilcourse/wire"
)

// steadyTickInterval is the interval at which a group without events is evaluated.
const steadyTickInterval = 500 * time.Millisecond

// waitingTickInterval is the interval for a steady group that waits for answers of its servers or for
// records, which have it evaluated when they come. Hundreds of such groups in each tick would take the
// leader's processor.
const waitingTickInterval = 100 * time.Millisecond

// Tick advances time and returns the actions to take on backend servers, the replicated state and
// the log. Groups without events are evaluated only every steadyTickInterval.
func (l *Leader) Tick(now time.Time) []Action {
	l.applyConfiguration(now)
	l.expireMembers(now)
	l.directory.Tick(now)
	l.assignOwners(now)
	if recordedRevision := l.State.GroupRevision(); recordedRevision != l.recordedRevision {
		for name, g := range l.groups {
			g.dirty = g.dirty || l.State.RevisionOf(name) > l.recordedRevision
		}
		l.recordedRevision = recordedRevision
	}
	var actions []Action
	for _, name := range l.groupNames {
		g := l.groups[name]
		if !g.dirty && now.Before(g.nextTick) {
			continue
		}
		actions = append(actions, l.tickGroup(now, name, g)...)
	}
	l.countChangingOwners()
	l.countMovingVMs()
	return actions
}

// tickGroup evaluates one group and returns its actions.
func (l *Leader) tickGroup(now time.Time, name string, g *group) []Action {
	l.evaluations++
	for slot, s := range g.servers {
		switch {
		case g.failover.Announced:
			// Owners may still use a recorded primary that only the control VMs cannot hear.
			inUse := slot == g.failover.Primary().Slot && g.failover.State() != promote.Choosing
			if now.Sub(s.lastHeard) > announcedServerTimeout && !inUse {
				g.dropServer(slot)
			}
		case now.Sub(s.lastHeard) > serverTimeout:
			delete(g.servers, slot)
		}
	}
	before, waitedFor := g.failover.State(), g.failover.Note()
	if recorded := primaryOf(l.State, name); recorded.Term > 0 {
		g.failover.ApplyRecordedPrimary(now, recorded)
	}
	fenced := l.leases.Fenced(now, name, g.failover.Primary().Term)
	var actions []Action
	for _, a := range g.failover.Tick(now, fenced) {
		if a.Promote != nil && g.failover.Announced && l.leases.Recovering(now) {
			// A promotion ordered by an earlier leader may still be in progress.
			continue
		}
		actions = append(actions, Action{Group: name, Action: a})
	}
	if after := g.failover.State(); after != before || g.failover.Note() != waitedFor {
		actions = append(actions, Action{Group: name, Transition: &Transition{before, after, g.failover.Note(), g.failover.Evidence(now)}})
	}
	if g.failover.Announced {
		actions = append(actions, l.recordActions(now, name, g)...)
	}
	l.updateUnreachable(now, g)
	l.considerOwnerMove(now, g)
	l.updateGroupState(now, name, g)
	g.dirty = g.failover.State() != promote.Steady
	g.nextTick = now.Add(steadyTickInterval)
	if len(actions) > 0 || g.failover.AckTerm() == 0 {
		g.nextTick = now.Add(waitingTickInterval)
	}
	return actions
}

// updateGroupState updates the group's desired lease state and its state in the directory.
func (l *Leader) updateGroupState(now time.Time, name string, g *group) {
	primary := g.failover.Primary()
	limit := l.configuration.Groups[name].Connections - len(g.failover.Slots)*controlConnectionsPerServer
	if g.failover.Announced {
		limit = l.configuration.Groups[name].Connections - controlConnectionsPerServer
	}
	l.leases.SetGroup(name, lease.Group{
		Term: g.failover.AckTerm(), Closing: g.failover.Closing(), Limit: limit, Owners: l.leaseOwners(name, g),
	})
	groupState := &wire.GroupState{Group: name, Term: primary.Term, PrimarySlot: primary.Slot, Owners: l.leaseOwners(name, g), Closing: g.failover.Closing()}
	for _, slot := range g.failover.Slots {
		s := g.servers[slot]
		if s == nil {
			continue
		}
		a := s.announcement
		groupState.Servers = append(groupState.Servers, &wire.Server{
			Slot: slot, Incarnation: a.GetIncarnation(), Address: a.GetAddress(),
			FailureDomain: a.GetFailureDomain(), Leaving: a.GetLeaving(),
			Admitted:    primary.Incarnations[slot] == a.GetIncarnation(),
			Concurrency: a.GetConcurrency(),
		})
	}
	l.directory.PutGroup(now, groupState, l.formerOwners(name, g))
}
