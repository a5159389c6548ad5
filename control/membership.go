package control

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

// maxVoterLag is how many entries behind a non-voter may be when it becomes a voter.
const maxVoterLag = 8

func sortMembers(members []*wire.ControlMember) []*wire.ControlMember {
	slices.SortFunc(members, func(a, b *wire.ControlMember) int {
		return cmp.Compare(raft.MemberKey(a), raft.MemberKey(b))
	})
	return members
}

// welcome lets a control VM with a new data folder take its predecessor's place: first the
// predecessor, which forgot what it promised, leaves; then the newcomer joins without a vote.
func (s *Server) welcome(newcomer *wire.ControlMember) {
	current := s.node.Membership()
	next := &wire.Membership{}
	for _, m := range current.GetMembers() {
		if raft.MemberKey(m) == raft.MemberKey(newcomer) {
			return
		}
		if m.GetVm() != newcomer.GetVm() {
			next.Members = append(next.Members, m)
		}
	}
	if len(next.GetMembers()) == len(current.GetMembers()) && s.Settings.Peers[newcomer.GetVm()] == "" {
		return
	}
	joined := proto.CloneOf(newcomer)
	joined.Voter = false
	next.Members = sortMembers(append(next.Members, joined))
	if _, err := s.node.ProposeMembership(next); err == nil {
		s.Log.WithField("member", raft.MemberKey(joined)).Info("control VM joins without a vote")
	}
}

// tendMembership gives a vote to a non-voter that has synced nearly the whole log.
func (s *Server) tendMembership() {
	current := s.node.Membership()
	for i, m := range current.GetMembers() {
		if m.GetVoter() || s.node.Match(raft.MemberKey(m))+maxVoterLag < s.node.Commit() {
			continue
		}
		if s.node.Match(raft.MemberKey(m)) == 0 {
			continue
		}
		next := proto.CloneOf(current)
		next.Members[i].Voter = true
		if _, err := s.node.ProposeMembership(next); err == nil {
			s.Log.WithField("member", raft.MemberKey(m)).Info("control VM gets its vote")
		}
		return
	}
}
