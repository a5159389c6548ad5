package raft_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

// TestSafety drives crashes, torn syncs, one-way cuts, loss, repeats and clock skew, and checks
// that a term has one leader, that no two VMs may answer as leader, that state machines agree,
// and that what was acknowledged is never lost.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		acknowledged := map[string]bool{}
		pending := map[string]*member{}
		for i := range rapid.IntRange(5, 30).Draw(t, "steps") {
			disturb(t, c)
			if m := c.leader(); m != nil {
				command := fmt.Sprintf("command-%d", i)
				if m.node.Propose([]byte(command)) > 0 {
					pending[command] = m
					c.carryOut(m, rapid.IntRange(0, 9).Draw(t, "torn") == 0)
				}
			}
			c.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "time")) * step)
			note(pending, acknowledged)
		}
		c.heal()
		c.run(5 * time.Second)
		for command := range acknowledged {
			if !contains(c.committed, command) {
				c.fail("%s was acknowledged and is lost", command)
			}
		}
		last := c.awaitLeader(5 * time.Second)
		if last == nil {
			c.fail("no leader after all is healed")
		} else {
			for command := range acknowledged {
				if !contains(last.applied, command) {
					c.fail("the leader %s lacks %s", last.key, command)
				}
			}
		}
		for _, f := range c.faults {
			t.Error(f)
		}
	})
}

func note(pending map[string]*member, acknowledged map[string]bool) {
	for command, m := range pending {
		if contains(m.applied, command) {
			acknowledged[command] = true
		}
	}
}

func contains(list []string, command string) bool {
	for _, c := range list {
		if c == command {
			return true
		}
	}
	return false
}

func disturb(t *rapid.T, c *cluster) {
	key := rapid.SampledFrom(c.order).Draw(t, "member")
	other := rapid.SampledFrom(c.order).Draw(t, "other")
	m := c.members[key]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		c.crash(key)
	case 1:
		if !m.up {
			c.boot(m)
		}
	case 2:
		c.cut[[2]string{key, other}] = true
	case 3:
		c.cut = map[[2]string]bool{}
	case 4:
		c.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	case 5:
		c.isolate(key, true)
	case 6:
		c.heal()
	case 7, 8:
		c.cut[[2]string{key, other}] = true
		c.cut[[2]string{other, key}] = true
	case 9:
		c.crash(key)
		c.boot(m)
	}
}

// TestSilentLeader cuts the leader off: it must know by itself, before another can be chosen,
// that it may not answer, and must not disturb the others when it comes back.
func TestSilentLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3)
	old := c.awaitLeader(5 * time.Second)
	is.True(old != nil)
	c.isolate(old.key, true)
	c.run(2 * time.Second)
	is.True(!old.node.HasLeaderLease(c.now)) // a leader without its majority answers nothing
	next := c.awaitLeader(5 * time.Second)
	is.True(next != nil && next != old)
	term := next.node.Term()
	c.run(time.Minute)
	c.isolate(old.key, false)
	c.run(2 * time.Second)
	is.Equal(c.leader(), next)       // the one that comes back takes nothing over
	is.Equal(next.node.Term(), term) // and raises no term
	is.Equal(len(c.faults), 0)
}

// TestWipedMember wipes a VM, lets it join again without a vote, gives it its vote when it has
// caught up, and loses a second VM right after: nothing may be lost.
func TestWipedMember(t *testing.T) {
	is := is.New(t)
	c := newCluster(4, 3)
	m := c.awaitLeader(5 * time.Second)
	for i := range 40 {
		is.True(m.node.Propose(fmt.Appendf(nil, "command-%d", i)) > 0)
		c.carryOut(m, false)
		c.run(50 * time.Millisecond)
	}
	wiped := other(c, m)
	c.crash(wiped.key)
	before := m.node.Membership()
	joined := &wire.Membership{}
	for _, x := range before.GetMembers() {
		x = proto.CloneOf(x)
		if raft.MemberKey(x) == wiped.key {
			x.Incarnation, x.Voter = "1", false
		}
		joined.Members = append(joined.Members, x)
	}
	_, err := m.node.ProposeMembership(joined)
	is.NoErr(err)
	c.carryOut(m, false)
	newKey := raft.Key(wiped.key[:2], "1")
	c.add(newKey, &disk{})
	c.run(time.Second)
	is.Equal(m.node.MatchIndex(newKey), m.node.CommitIndex()) // it has the whole log from a snapshot
	voting := proto.CloneOf(joined)
	for _, x := range voting.GetMembers() {
		x.Voter = true
	}
	_, err = m.node.ProposeMembership(voting)
	is.NoErr(err)
	c.carryOut(m, false)
	c.run(time.Second)
	c.crash(m.key)
	next := c.awaitLeader(10 * time.Second)
	is.True(next != nil)
	is.Equal(len(next.applied), 40)
	is.Equal(len(c.faults), 0)
}

// TestNonVoterNeverVotes checks that a wiped VM does not help anybody to a majority.
func TestNonVoterNeverVotes(t *testing.T) {
	is := is.New(t)
	c := newCluster(5, 3)
	m := c.awaitLeader(5 * time.Second)
	wiped := other(c, m)
	c.crash(wiped.key)
	wiped.disk = nil
	c.add(raft.Key(wiped.key[:2], "1"), &disk{})
	for _, key := range c.order[:3] {
		if key != wiped.key && key != m.key {
			c.crash(key)
		}
	}
	c.run(10 * time.Second)
	is.True(c.leader() == nil) // one of three voters is left, whatever a wiped VM says
}

// TestTwoVotersAtOnce checks that a change of two voters is refused.
func TestTwoVotersAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(6, 3)
	m := c.awaitLeader(5 * time.Second)
	next := proto.CloneOf(m.node.Membership())
	next.Members = next.Members[:1]
	_, err := m.node.ProposeMembership(next)
	is.True(err != nil)
}

func other(c *cluster, m *member) *member {
	for _, key := range c.order {
		if key != m.key {
			return c.members[key]
		}
	}
	return nil
}

// TestLastVotersElectSoon has all seven voters lose power, of which the last four in the order of
// their keys come back: they do not wait as long for those before them as an election takes.
func TestLastVotersElectSoon(t *testing.T) {
	is := is.New(t)
	const electionTimeout = 600 * time.Millisecond
	for seed := range uint64(20) {
		c := newCluster(seed, 7)
		is.True(c.awaitLeader(5*time.Second) != nil)
		for _, key := range c.order {
			c.crash(key)
		}
		c.run(time.Second)
		for _, key := range c.order[3:] {
			c.boot(c.members[key])
		}
		is.True(c.awaitLeader(electionTimeout*7/4) != nil) // votes are refused for one timeout after a restart
		is.Equal(len(c.faults), 0)
	}
}
