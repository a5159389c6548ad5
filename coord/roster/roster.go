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
	// maxLag is how many entries behind a learner may be when it becomes a voter.
	maxLag = 8
	// silenceLimit is more than a restart takes, and less than a VM that comes in place of
	// another is given to catch up.
	silenceLimit = 3 * time.Second
	// leastTolerated is how many losses are borne where nothing else is said.
	leastTolerated = 1
)

// Progress is what the leader knows of a member.
type Progress struct {
	// SinceContact is how long it has not been heard.
	SinceContact time.Duration
	// Lag is the number of committed entries that it is not known to have synced.
	Lag uint64
	// HasEntries reports that it has synced anything at all.
	HasEntries bool
}

// Change says what a new membership does.
type Change struct {
	// Member is the key of the control VM that it concerns.
	Member string
	// Outcome is joined, votes or left.
	Outcome string
}

// HasExistingState reports whether a data folder belongs to a system: one that joined may hold the log
// alone, without a snapshot, and what it holds must never be replaced by a first membership.
func HasExistingState(stored raft.PersistentState) bool {
	return stored.Snapshot != nil || len(stored.Entries) > 0
}

// AddLearner returns the membership with a VM that asks to join as a learner, or nil if it belongs to
// it already. A VM whose data folder is new takes the place of its predecessor, which forgot
// what it promised.
func AddLearner(current *wire.Membership, newcomer *wire.ControlMember) (*wire.Membership, Change) {
	next := &wire.Membership{}
	for _, m := range current.GetMembers() {
		if raft.MemberKey(m) == raft.MemberKey(newcomer) {
			return nil, Change{}
		}
		if m.GetVm() != newcomer.GetVm() {
			next.Members = append(next.Members, m)
		}
	}
	joined := proto.CloneOf(newcomer)
	joined.Voter = false
	next.Members = append(next.Members, joined)
	Sort(next.Members)
	return next, Change{raft.MemberKey(joined), "joined"}
}

// NextMembership returns the membership that the leader should propose, or nil. The number of voters is
// kept odd, so that one half of a system that is cut in two has a majority; a learner that could
// make it even waits to take the place of a silent voter. Silent voters keep their votes as long
// as there are no more voters than are needed for the loss of tolerated of them.
func NextMembership(current *wire.Membership, tolerated int, standing func(key string) Progress) (*wire.Membership, Change) {
	minVoters := 2*max(tolerated, leastTolerated) + 1
	voters, silentVoter, silentLearner := 0, -1, -1
	var ready []int
	for i, m := range current.GetMembers() {
		s := standing(raft.MemberKey(m))
		silent := s.SinceContact >= silenceLimit
		switch {
		case m.GetVoter():
			voters++
			if silent {
				silentVoter = i
			}
		case silent:
			silentLearner = i
		case s.HasEntries && s.Lag <= maxLag:
			ready = append(ready, i)
		}
	}
	even := voters%2 == 0
	switch {
	case silentVoter >= 0 && voters > minVoters:
		return without(current, silentVoter)
	case silentLearner >= 0:
		return without(current, silentLearner)
	case len(ready) > 0 && (even || voters < minVoters || silentVoter >= 0 || len(ready) > 1):
		next := proto.CloneOf(current)
		next.Members[ready[0]].Voter = true
		return next, Change{raft.MemberKey(next.Members[ready[0]]), "votes"}
	}
	return nil, Change{}
}

func without(current *wire.Membership, i int) (*wire.Membership, Change) {
	next := proto.CloneOf(current)
	left := raft.MemberKey(next.Members[i])
	next.Members = slices.Delete(next.Members, i, i+1)
	return next, Change{left, "left"}
}

// InitialMembership returns the membership of control VMs that start for the first time, in which all vote.
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

// Sort puts members in the order of their keys.
func Sort(members []*wire.ControlMember) {
	slices.SortFunc(members, func(a, b *wire.ControlMember) int {
		return cmp.Compare(raft.MemberKey(a), raft.MemberKey(b))
	})
}
