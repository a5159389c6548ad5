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

// TestSafetyUnderFaults injects crashes, crashes between sync and send, partitions, one-way link
// failures and message loss, delay and duplication. It checks that a term has one leader, that no
// two VMs hold the leader's lease, that state machines agree and that no acknowledged command is
// lost.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		acknowledged := map[string]bool{}
		pending := map[string]*member{}
		for i := range rapid.IntRange(5, 30).Draw(t, "steps") {
			injectFault(t, c)
			if m := c.leader(); m != nil {
				command := fmt.Sprintf("command-%d", i)
				if m.node.Propose([]byte(command)) > 0 {
					pending[command] = m
					c.processEffects(m, rapid.IntRange(0, 9).Draw(t, "torn") == 0)
				}
			}
			c.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "time")) * step)
			recordAcknowledged(pending, acknowledged)
		}
		c.heal()
		c.advance(5 * time.Second)
		for command := range acknowledged {
			if !contains(c.committed, command) {
				c.recordViolation("acknowledged command %s is lost", command)
			}
		}
		final := c.awaitLeader(5 * time.Second)
		if final == nil {
			c.recordViolation("no leader was elected after all faults were healed")
		} else {
			for command := range acknowledged {
				if !contains(final.applied, command) {
					c.recordViolation("leader %s has not applied acknowledged command %s", final.key, command)
				}
			}
		}
		for _, f := range c.violations {
			t.Error(f)
		}
	})
}

func recordAcknowledged(pending map[string]*member, acknowledged map[string]bool) {
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

func injectFault(t *rapid.T, c *cluster) {
	key := rapid.SampledFrom(c.keys).Draw(t, "member")
	other := rapid.SampledFrom(c.keys).Draw(t, "other")
	m := c.members[key]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		c.crash(key)
	case 1:
		if !m.up {
			c.start(m)
		}
	case 2:
		c.blocked[[2]string{key, other}] = true
	case 3:
		c.blocked = map[[2]string]bool{}
	case 4:
		c.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	case 5:
		c.isolate(key, true)
	case 6:
		c.heal()
	case 7, 8:
		c.blocked[[2]string{key, other}] = true
		c.blocked[[2]string{other, key}] = true
	case 9:
		c.crash(key)
		c.start(m)
	}
}

// TestIsolatedLeaderLosesLease partitions the leader from all others: it must lose its lease by
// itself before another leader can be elected, and must not disrupt the new leader when it returns.
func TestIsolatedLeaderLosesLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3)
	isolatedLeader := c.awaitLeader(5 * time.Second)
	is.True(isolatedLeader != nil)
	c.isolate(isolatedLeader.key, true)
	c.advance(2 * time.Second)
	is.True(!isolatedLeader.node.HasLeaderLease(c.now)) // the lease expires without contact to a majority
	newLeader := c.awaitLeader(5 * time.Second)
	is.True(newLeader != nil && newLeader != isolatedLeader)
	term := newLeader.node.Term()
	c.advance(time.Minute)
	c.isolate(isolatedLeader.key, false)
	c.advance(2 * time.Second)
	is.Equal(c.leader(), newLeader)       // the returning member does not take over
	is.Equal(newLeader.node.Term(), term) // and does not raise the term
	is.Equal(len(c.violations), 0)
}

// TestWipedMemberRejoins replaces a wiped VM by a learner, makes the learner a voter once it has
// caught up, and crashes a second VM right after: no committed entry may be lost.
func TestWipedMemberRejoins(t *testing.T) {
	is := is.New(t)
	c := newCluster(4, 3)
	leader := c.awaitLeader(5 * time.Second)
	for i := range 40 {
		is.True(leader.node.Propose(fmt.Appendf(nil, "command-%d", i)) > 0)
		c.processEffects(leader, false)
		c.advance(50 * time.Millisecond)
	}
	wiped := otherMember(c, leader)
	c.crash(wiped.key)
	oldMembership := leader.node.Membership()
	withLearner := &wire.Membership{}
	for _, x := range oldMembership.GetMembers() {
		x = proto.CloneOf(x)
		if raft.MemberKey(x) == wiped.key {
			x.Incarnation, x.Voter = "1", false
		}
		withLearner.Members = append(withLearner.Members, x)
	}
	_, err := leader.node.ProposeMembership(withLearner)
	is.NoErr(err)
	c.processEffects(leader, false)
	newKey := raft.Key(wiped.key[:2], "1")
	c.addMember(newKey, &disk{})
	c.advance(time.Second)
	is.Equal(leader.node.MatchIndex(newKey), leader.node.Commit()) // it has caught up from a snapshot
	withVoter := proto.CloneOf(withLearner)
	for _, x := range withVoter.GetMembers() {
		x.Voter = true
	}
	_, err = leader.node.ProposeMembership(withVoter)
	is.NoErr(err)
	c.processEffects(leader, false)
	c.advance(time.Second)
	c.crash(leader.key)
	newLeader := c.awaitLeader(10 * time.Second)
	is.True(newLeader != nil)
	is.Equal(len(newLeader.applied), 40)
	is.Equal(len(c.violations), 0)
}

// TestWipedMemberDoesNotVote checks that a wiped VM does not count towards a majority.
func TestWipedMemberDoesNotVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(5, 3)
	elected := c.awaitLeader(5 * time.Second)
	wiped := otherMember(c, elected)
	c.crash(wiped.key)
	wiped.disk = nil
	c.addMember(raft.Key(wiped.key[:2], "1"), &disk{})
	for _, key := range c.keys[:3] {
		if key != wiped.key && key != elected.key {
			c.crash(key)
		}
	}
	c.advance(10 * time.Second)
	is.True(c.leader() == nil) // only one of three voters is up; the wiped VM does not count
}

// TestChangeOfTwoVotersIsRejected checks that a membership change of two voters returns an error.
func TestChangeOfTwoVotersIsRejected(t *testing.T) {
	is := is.New(t)
	c := newCluster(6, 3)
	leader := c.awaitLeader(5 * time.Second)
	membership := proto.CloneOf(leader.node.Membership())
	membership.Members = membership.Members[:1]
	_, err := leader.node.ProposeMembership(membership)
	is.True(err != nil)
}

func otherMember(c *cluster, m *member) *member {
	for _, key := range c.keys {
		if key != m.key {
			return c.members[key]
		}
	}
	return nil
}

// TestLastRankedVotersElectLeaderSoon crashes all seven voters and restarts the last four in key
// order: the staggered deadlines of the absent voters must not delay the election by another
// timeout.
func TestLastRankedVotersElectLeaderSoon(t *testing.T) {
	is := is.New(t)
	const electionTimeout = 600 * time.Millisecond
	for seed := range uint64(20) {
		c := newCluster(seed, 7)
		is.True(c.awaitLeader(5*time.Second) != nil)
		for _, key := range c.keys {
			c.crash(key)
		}
		c.advance(time.Second)
		for _, key := range c.keys[3:] {
			c.start(c.members[key])
		}
		is.True(c.awaitLeader(electionTimeout*7/4) != nil) // nodes grant no vote for one timeout after a restart
		is.Equal(len(c.violations), 0)
	}
}

// TestFormerLeaderLeadsAgainAtOnce crashes all voters and restarts them together: the one that led
// does not wait until its own lease would have ended.
func TestFormerLeaderLeadsAgainAtOnce(t *testing.T) {
	is := is.New(t)
	const roundTrips = 200 * time.Millisecond
	for seed := range uint64(20) {
		c := newCluster(seed, 5)
		former := c.awaitLeader(5 * time.Second)
		is.True(former != nil)
		term := former.node.Term()
		c.advance(time.Second)
		for _, key := range c.keys {
			c.crash(key)
		}
		for _, key := range c.keys {
			c.start(c.members[key])
		}
		is.Equal(c.awaitLeader(roundTrips), former)
		is.Equal(former.node.Term(), term+1)
		is.Equal(len(c.violations), 0)
	}
}

// TestFormerLeaderOfEarlierTermWaits checks that a VM which led does not disturb the leader that was
// elected since.
func TestFormerLeaderOfEarlierTermWaits(t *testing.T) {
	is := is.New(t)
	c := newCluster(8, 5)
	former := c.awaitLeader(5 * time.Second)
	c.advance(time.Second)
	c.crash(former.key)
	c.advance(2 * time.Second)
	next := c.awaitLeader(5 * time.Second)
	is.True(next != nil && next != former)
	term := next.node.Term()
	c.start(former)
	c.advance(5 * time.Second)
	is.Equal(c.leader(), next)
	is.Equal(next.node.Term(), term)
	is.Equal(len(c.violations), 0)
}
