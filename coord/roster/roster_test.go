package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/roster"
	"trefoilcourse/wire"
)

func member(vm, incarnation string, voter bool) *wire.ControlMember {
	return &wire.ControlMember{Vm: vm, Incarnation: incarnation, Address: vm + ":1", Voter: voter}
}

func voters(vms ...string) *wire.Membership {
	m := &wire.Membership{}
	for _, vm := range vms {
		m.Members = append(m.Members, member(vm, "1", true))
	}
	return m
}

func unresponsive(keys ...string) func(string) roster.Progress {
	return func(key string) roster.Progress {
		p := roster.Progress{HasEntries: true}
		for _, k := range keys {
			if k == key {
				p.SinceContact = 10 * time.Second
			}
		}
		return p
	}
}

func keys(m *wire.Membership) (all []string) {
	for _, member := range m.GetMembers() {
		mark := ""
		if member.GetVoter() {
			mark = "+"
		}
		all = append(all, raft.MemberKey(member)+mark)
	}
	return all
}

func TestWipedMemberRejoinsAsLearner(t *testing.T) {
	is := is.New(t)
	next, _ := roster.AddLearner(voters("a", "b", "c"), member("b", "2", false))
	is.Equal(keys(next), []string{"a/1+", "b/2", "c/1+"})
	next, _ = roster.AddLearner(next, member("b", "2", false))
	is.True(next == nil)
}

func TestLearnerIsPromotedWhenCaughtUp(t *testing.T) {
	is := is.New(t)
	m, _ := roster.AddLearner(voters("a", "b"), member("d", "1", false))
	next, _ := roster.NextMembership(m, 1, func(string) roster.Progress { return roster.Progress{HasEntries: true, Lag: 100} })
	is.True(next == nil)
	next, _ = roster.NextMembership(m, 1, func(string) roster.Progress { return roster.Progress{} })
	is.True(next == nil) // the learner is not known to have synced any entry
	next, change := roster.NextMembership(m, 1, unresponsive())
	is.Equal(keys(next), []string{"a/1+", "b/1+", "d/1+"})
	is.Equal(change.Outcome, "votes")
}

// TestVoterCountStaysOdd checks that a fourth control VM stays a learner, since a partition into two
// halves must leave one with a majority, and that a fifth one makes both voters.
func TestVoterCountStaysOdd(t *testing.T) {
	is := is.New(t)
	m, _ := roster.AddLearner(voters("a", "b", "c"), member("d", "1", false))
	next, _ := roster.NextMembership(m, 1, unresponsive())
	is.True(next == nil)
	m, _ = roster.AddLearner(m, member("e", "1", false))
	m, _ = roster.NextMembership(m, 1, unresponsive())
	m, _ = roster.NextMembership(m, 1, unresponsive())
	is.Equal(keys(m), []string{"a/1+", "b/1+", "c/1+", "d/1+", "e/1+"})
}

// TestUnresponsiveVoterIsReplaced replaces a VM with one at a new address: once the new VM is a voter
// the unresponsive one is removed, so that two of three voters remain if another one is lost.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	next, _ := roster.NextMembership(voters("a", "b", "c"), 1, unresponsive("c/1"))
	is.True(next == nil) // three voters are the minimum
	m, _ := roster.AddLearner(voters("a", "b", "c"), member("d", "1", false))
	m, _ = roster.NextMembership(m, 1, unresponsive("c/1"))
	m, change := roster.NextMembership(m, 1, unresponsive("c/1"))
	is.Equal(keys(m), []string{"a/1+", "b/1+", "d/1+"})
	is.Equal(change, roster.Change{Member: "c/1", Outcome: "left"})
	m, _ = roster.AddLearner(m, member("c", "1", true))
	is.Equal(keys(m), []string{"a/1+", "b/1+", "c/1", "d/1+"}) // the returning VM is a learner
}

// TestLogWithoutSnapshotIsExistingState checks that a log without a snapshot counts as existing
// state: a control VM that has joined and restarts before its first snapshot must not treat its data
// folder as empty and replace its log with an initial membership.
func TestLogWithoutSnapshotIsExistingState(t *testing.T) {
	is := is.New(t)
	is.True(!roster.HasExistingState(raft.PersistentState{TermAndVote: &wire.HardState{Term: 3}}))
	is.True(roster.HasExistingState(raft.PersistentState{Entries: []*wire.LogEntry{{Index: 1}}}))
	is.True(roster.HasExistingState(raft.PersistentState{Snapshot: &wire.LogSnapshot{}}))
}

// TestToleratesLossOfTwoVoters lets eight control VMs lose any two voters and then two more: only
// unresponsive members are removed, and five voters always remain.
func TestToleratesLossOfTwoVoters(t *testing.T) {
	is := is.New(t)
	m := voters("a", "b", "c")
	for _, vm := range []string{"d", "e", "f", "g", "h"} {
		m, _ = roster.AddLearner(m, member(vm, "1", false))
	}
	applyAll := func(progress func(string) roster.Progress) {
		for next := m; next != nil; next, _ = roster.NextMembership(m, 2, progress) {
			m = next
		}
	}
	applyAll(unresponsive())
	is.Equal(keys(m), []string{"a/1+", "b/1+", "c/1+", "d/1+", "e/1+", "f/1+", "g/1+", "h/1"})
	applyAll(unresponsive("a/1", "b/1"))
	is.Equal(keys(m), []string{"c/1+", "d/1+", "e/1+", "f/1+", "g/1+", "h/1"})
	applyAll(unresponsive("c/1", "d/1"))
	is.Equal(keys(m), []string{"c/1+", "e/1+", "f/1+", "g/1+", "h/1+"})
}
