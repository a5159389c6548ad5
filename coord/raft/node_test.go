package raft_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

func threeVoters() *wire.Membership {
	return &wire.Membership{Members: []*wire.ControlMember{
		{Vm: "a", Incarnation: "0", Voter: true},
		{Vm: "b", Incarnation: "0", Voter: true},
		{Vm: "c", Incarnation: "0", Voter: true},
	}}
}

func votes(n *raft.Node, d *disk) []*wire.AgreementMessage {
	e := n.TakeEffects()
	d.save(&e)
	var answers []*wire.AgreementMessage
	for _, m := range e.Messages {
		if m.GetKind() == wire.AgreementKind_AGREEMENT_KIND_VOTE_ANSWER {
			answers = append(answers, m)
		}
	}
	return answers
}

// TestVoteIsRemembered: a VM that restarts after its vote gives no second one in the term.
func TestVoteIsRemembered(t *testing.T) {
	is := is.New(t)
	d := &disk{snapshot: &wire.LogSnapshot{Membership: threeVoters()}}
	now := time.Unix(1000, 0)
	n := &raft.Node{Self: "a/0"}
	n.Restart(now, d.stored())
	now = now.Add(time.Second)
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_VOTE, Term: 5, From: "b/0", To: "a/0"})
	first := votes(n, d)
	is.Equal(len(first), 1)
	is.True(!first[0].GetReject())
	n = &raft.Node{Self: "a/0"}
	n.Restart(now, d.stored())
	now = now.Add(time.Second)
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_VOTE, Term: 5, From: "c/0", To: "a/0"})
	second := votes(n, d)
	is.Equal(len(second), 1)
	is.True(second[0].GetReject()) // the vote of term 5 went to b before the restart
}

// TestEarlierTermIsNotCommittedByCount: an entry of an earlier term on a majority may still be
// overwritten, so a leader commits it only with one of its own.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	d := &disk{
		snapshot: &wire.LogSnapshot{Membership: threeVoters()},
		hard:     &wire.HardState{Term: 1},
		entries:  []*wire.LogEntry{{Index: 1, Term: 1, Data: []byte("old")}},
	}
	now := time.Unix(1000, 0)
	n := &raft.Node{Self: "a/0"}
	n.Restart(now, d.stored())
	now = now.Add(5 * time.Second)
	n.Tick(now)
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER, Term: 2, From: "b/0", To: "a/0"})
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_VOTE_ANSWER, Term: 2, From: "b/0", To: "a/0"})
	is.Equal(n.Role(), raft.Leader)
	e := n.TakeEffects()
	n.MarkSynced(&e)
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER, Term: 2, From: "b/0", To: "a/0", LogIndex: 1, Round: 1})
	is.Equal(n.CommitIndex(), uint64(0))
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER, Term: 2, From: "b/0", To: "a/0", LogIndex: 2, Round: 1})
	is.Equal(n.CommitIndex(), uint64(2))
}

// TestOneBadLink: a VM that alone cannot hear the leader deposes nobody.
func TestOneBadLink(t *testing.T) {
	is := is.New(t)
	c := newCluster(8, 3)
	m := c.awaitLeader(5 * time.Second)
	term := m.node.Term()
	deaf := other(c, m)
	c.cut[[2]string{m.key, deaf.key}] = true
	c.cut[[2]string{deaf.key, m.key}] = true
	c.run(20 * time.Second)
	is.Equal(c.leader(), m)
	is.Equal(m.node.Term(), term)
	is.Equal(len(c.faults), 0)
}

// TestSlowMemberIsNotSentTheSameAgain has a member whose disk does not answer: with entries of
// some size, sending them with each heartbeat filled the links between failure domains.
func TestSlowMemberIsNotSentTheSameAgain(t *testing.T) {
	is := is.New(t)
	d := &disk{snapshot: &wire.LogSnapshot{Membership: threeVoters()}, hard: &wire.HardState{Term: 1}}
	now := time.Unix(1000, 0)
	n := &raft.Node{Self: "a/0"}
	n.Restart(now, d.stored())
	now = now.Add(5 * time.Second)
	n.Tick(now)
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER, Term: 2, From: "b/0", To: "a/0"})
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_VOTE_ANSWER, Term: 2, From: "b/0", To: "a/0"})
	e := n.TakeEffects()
	n.MarkSynced(&e)
	n.Propose([]byte("large"))
	sent := map[string]int{}
	heartbeats := 0
	for range 20 {
		now = now.Add(25 * time.Millisecond)
		n.Tick(now)
		e := n.TakeEffects()
		for _, m := range e.Messages {
			heartbeats++
			for _, entry := range m.GetEntries() {
				if len(entry.GetData()) > 0 {
					sent[m.GetTo()]++
				}
			}
		}
	}
	is.Equal(sent["b/0"], 1)
	is.True(heartbeats > 8) // and is still heard
	now = now.Add(150 * time.Millisecond)
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER, Term: 2, From: "b/0", To: "a/0", Reject: true, LogIndex: 0, Round: 3})
	again := 0
	for _, m := range n.TakeEffects().Messages {
		again += len(m.GetEntries())
	}
	is.True(again > 0) // what it says that it lacks is sent at once
}

// TestLearnerThatWasLeftOut hears nothing any more, although it still knows who led.
func TestLearnerThatWasLeftOut(t *testing.T) {
	is := is.New(t)
	m := threeVoters()
	m.Members = append(m.Members, &wire.ControlMember{Vm: "d", Incarnation: "0"})
	d := &disk{snapshot: &wire.LogSnapshot{Membership: m}}
	now := time.Unix(1000, 0)
	n := &raft.Node{Self: "d/0"}
	n.Restart(now, d.stored())
	n.Step(now, &wire.AgreementMessage{Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND, Term: 1, From: "a/0", To: "d/0"})
	is.True(n.HasActiveLeader(now))
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		n.Tick(now)
	}
	is.Equal(n.LeaderKey(), "a/0")
	is.True(!n.HasActiveLeader(now))
}
