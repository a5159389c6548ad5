package roster

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

const (
	// maxLag is the maximum number of entries a learner may be behind when it becomes a voter.
	maxLag = 8
	// contactTimeout is longer than a restart takes, and shorter than the time that a replacement VM
	// has to catch up.
	contactTimeout = 3 * time.Second
	// minToleratedLosses is the number of voter losses to tolerate if no larger number is given.
	minToleratedLosses = 1
)

// Progress is the leader's view of a member.
type Progress struct {
	// SinceContact is the time since the leader last heard from the member.
	SinceContact time.Duration
	// Lag is the number of committed entries that the member is not known to have synced.
	Lag uint64
	// HasEntries reports whether the member has synced any entry.
	HasEntries bool
}

// Change describes how a new membership differs from the current one.
type Change struct {
	// Member is the key of the control VM that joins, becomes a voter or leaves.
	Member string
	// Outcome is "joined", "votes" or "left".
	Outcome string
}

// HasExistingState reports whether a data folder belongs to a member of a cluster. A member that
// joined may have a log without a snapshot, which an initial membership must never replace.
func HasExistingState(state raft.PersistentState) bool {
	return state.Snapshot != nil || len(state.Entries) > 0
}

// AddLearner returns the membership with a VM added as a learner, or nil if the VM is a member
// already. A VM with a new data folder replaces its earlier incarnation, whose votes and log are
// lost.
func AddLearner(current *wire.Membership, member *wire.ControlMember) (*wire.Membership, Change) {
	next := &wire.Membership{}
	for _, m := range current.GetMembers() {
		if raft.MemberKey(m) == raft.MemberKey(member) {
			return nil, Change{}
		}
		if m.GetVm() != member.GetVm() {
			next.Members = append(next.Members, m)
		}
	}
	learner := proto.CloneOf(member)
	learner.Voter = false
	next.Members = append(next.Members, learner)
	Sort(next.Members)
	return next, Change{raft.MemberKey(learner), "joined"}
}

// NextMembership returns the membership that the leader should propose, or nil. It keeps the number
// of voters odd, so that one side of a partition in two has a majority; a learner that would make it
// even waits to replace an unresponsive voter. Unresponsive voters are removed only while there are
// more voters than are needed to tolerate toleratedLosses losses.
func NextMembership(current *wire.Membership, toleratedLosses int, progress func(key string) Progress) (*wire.Membership, Change) {
	minVoters := 2*max(toleratedLosses, minToleratedLosses) + 1
	voters, unresponsiveVoter, unresponsiveLearner := 0, -1, -1
	var caughtUp []int
	for i, m := range current.GetMembers() {
		p := progress(raft.MemberKey(m))
		unresponsive := p.SinceContact >= contactTimeout
		switch {
		case m.GetVoter():
			voters++
			if unresponsive {
				unresponsiveVoter = i
			}
		case unresponsive:
			unresponsiveLearner = i
		case p.HasEntries && p.Lag <= maxLag:
			caughtUp = append(caughtUp, i)
		}
	}
	evenVoters := voters%2 == 0
	switch {
	case unresponsiveVoter >= 0 && voters > minVoters:
		return withoutMember(current, unresponsiveVoter)
	case unresponsiveLearner >= 0:
		return withoutMember(current, unresponsiveLearner)
	case len(caughtUp) > 0 && (evenVoters || voters < minVoters || unresponsiveVoter >= 0 || len(caughtUp) > 1):
		next := proto.CloneOf(current)
		next.Members[caughtUp[0]].Voter = true
		return next, Change{raft.MemberKey(next.Members[caughtUp[0]]), "votes"}
	}
	return nil, Change{}
}

func withoutMember(current *wire.Membership, i int) (*wire.Membership, Change) {
	next := proto.CloneOf(current)
	removed := raft.MemberKey(next.Members[i])
	next.Members = slices.Delete(next.Members, i, i+1)
	return next, Change{removed, "left"}
}

// InitialMembership returns the membership for the first start of the control VMs, where all of them
// are voters.
func InitialMembership(members []*wire.ControlMember) *wire.Membership {
	m := &wire.Membership{}
	for _, member := range members {
		voter := proto.CloneOf(member)
		voter.Voter = true
		m.Members = append(m.Members, voter)
	}
	Sort(m.Members)
	return m
}

// Sort sorts members by their keys.
func Sort(members []*wire.ControlMember) {
	slices.SortFunc(members, func(a, b *wire.ControlMember) int {
		return cmp.Compare(raft.MemberKey(a), raft.MemberKey(b))
	})
}
