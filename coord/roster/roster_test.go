package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/roster"
	"trefoilcourse/wire"
)

func member(vm, life string, voter bool) *wire.ControlMember {
	return &wire.ControlMember{Vm: vm, Incarnation: life, Address: vm + ":1", Voter: voter}
}

func voters(vms ...string) *wire.Membership {
	m := &wire.Membership{}
	for _, vm := range vms {
		m.Members = append(m.Members, member(vm, "1", true))
	}
	return m
}

func silent(keys ...string) func(string) roster.Progress {
	return func(key string) roster.Progress {
		s := roster.Progress{HasEntries: true}
		for _, k := range keys {
			if k == key {
				s.SinceContact = 10 * time.Second
			}
		}
		return s
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

func TestWipedFolderLosesItsVote(t *testing.T) {
	is := is.New(t)
	next, _ := roster.AddLearner(voters("a", "b", "c"), member("b", "2", false))
	is.Equal(keys(next), []string{"a/1+", "b/2", "c/1+"})
	next, _ = roster.AddLearner(next, member("b", "2", false))
	is.True(next == nil)
}

func TestLearnerVotesWhenItHasTheLog(t *testing.T) {
	is := is.New(t)
	m, _ := roster.AddLearner(voters("a", "b"), member("d", "1", false))
	next, _ := roster.NextMembership(m, 1, func(string) roster.Progress { return roster.Progress{HasEntries: true, Lag: 100} })
	is.True(next == nil)
	next, _ = roster.NextMembership(m, 1, func(string) roster.Progress { return roster.Progress{} })
	is.True(next == nil) // nothing of the log is known to be there
	next, change := roster.NextMembership(m, 1, silent())
	is.Equal(keys(next), []string{"a/1+", "b/1+", "d/1+"})
	is.Equal(change.Outcome, "votes")
}

// TestVotersStayOdd has a fourth control VM wait, so that a cut into halves leaves a majority;
// a fifth makes both vote.
func TestVotersStayOdd(t *testing.T) {
	is := is.New(t)
	m, _ := roster.AddLearner(voters("a", "b", "c"), member("d", "1", false))
	next, _ := roster.NextMembership(m, 1, silent())
	is.True(next == nil)
	m, _ = roster.AddLearner(m, member("e", "1", false))
	m, _ = roster.NextMembership(m, 1, silent())
	m, _ = roster.NextMembership(m, 1, silent())
	is.Equal(keys(m), []string{"a/1+", "b/1+", "c/1+", "d/1+", "e/1+"})
}

// TestReplacedThenAnotherLost has a VM replaced at a new address: once the newcomer votes the
// silent one leaves, so that two of three remain when a second one is lost.
func TestReplacedThenAnotherLost(t *testing.T) {
	is := is.New(t)
	next, _ := roster.NextMembership(voters("a", "b", "c"), 1, silent("c/1"))
	is.True(next == nil) // three are the least
	m, _ := roster.AddLearner(voters("a", "b", "c"), member("d", "1", false))
	m, _ = roster.NextMembership(m, 1, silent("c/1"))
	m, change := roster.NextMembership(m, 1, silent("c/1"))
	is.Equal(keys(m), []string{"a/1+", "b/1+", "d/1+"})
	is.Equal(change, roster.Change{Member: "c/1", Outcome: "left"})
	m, _ = roster.AddLearner(m, member("c", "1", true))
	is.Equal(keys(m), []string{"a/1+", "b/1+", "c/1", "d/1+"}) // back as a learner
}

// TestLogAloneIsASystem: a control VM that joined and was restarted before its first snapshot
// once took itself for empty, and replaced its log by a first membership.
func TestLogAloneIsASystem(t *testing.T) {
	is := is.New(t)
	is.True(!roster.HasExistingState(raft.PersistentState{TermAndVote: &wire.HardState{Term: 3}}))
	is.True(roster.HasExistingState(raft.PersistentState{Entries: []*wire.LogEntry{{Index: 1}}}))
	is.True(roster.HasExistingState(raft.PersistentState{Snapshot: &wire.LogSnapshot{}}))
}

// TestTwoLossesAtOnce has eight control VMs bear the loss of any two, and then of two more: no
// more than the silent leave, and five votes stay whatever happens.
func TestTwoLossesAtOnce(t *testing.T) {
	is := is.New(t)
	m := voters("a", "b", "c")
	for _, vm := range []string{"d", "e", "f", "g", "h"} {
		m, _ = roster.AddLearner(m, member(vm, "1", false))
	}
	settle := func(standing func(string) roster.Progress) {
		for next := m; next != nil; next, _ = roster.NextMembership(m, 2, standing) {
			m = next
		}
	}
	settle(silent())
	is.Equal(keys(m), []string{"a/1+", "b/1+", "c/1+", "d/1+", "e/1+", "f/1+", "g/1+", "h/1"})
	settle(silent("a/1", "b/1"))
	is.Equal(keys(m), []string{"c/1+", "d/1+", "e/1+", "f/1+", "g/1+", "h/1"})
	settle(silent("c/1", "d/1"))
	is.Equal(keys(m), []string{"c/1+", "e/1+", "f/1+", "g/1+", "h/1+"})
}
