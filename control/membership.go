package control

import (
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/roster"
	"trefoilcourse/wire"
)

// addLearner proposes a control VM that asks to join as a learner.
func (s *Server) addLearner(newcomer *wire.ControlMember) {
	if len(s.Settings.Seeds) == 0 && !s.isKnownVM(newcomer) {
		return
	}
	s.proposeMembership(roster.AddLearner(s.node.Membership(), newcomer))
}

// isKnownVM reports whether the VM is listed in the settings or the membership.
func (s *Server) isKnownVM(newcomer *wire.ControlMember) bool {
	for _, m := range s.node.Membership().GetMembers() {
		if m.GetVm() == newcomer.GetVm() {
			return true
		}
	}
	return s.Settings.Peers[newcomer.GetVm()] != ""
}

// updateMembership proposes votes for learners that have caught up, and removes unresponsive members.
func (s *Server) updateMembership() {
	now := clock.Now()
	next, change := roster.NextMembership(s.node.Membership(), s.Settings.ToleratedLosses, func(key string) roster.Progress {
		match := s.node.MatchIndex(key)
		standing := roster.Progress{HasEntries: match > 0, SinceContact: s.node.SinceContact(now, key)}
		if commit := s.node.Commit(); match < commit {
			standing.Lag = commit - match
		}
		if len(s.Settings.Seeds) == 0 {
			// VMs that are listed in the settings are never removed as unresponsive.
			standing.SinceContact = 0
		}
		return standing
	})
	s.proposeMembership(next, change)
}

func (s *Server) proposeMembership(next *wire.Membership, change roster.Change) {
	if next == nil {
		return
	}
	if _, err := s.node.ProposeMembership(next); err != nil {
		s.Log.WithError(err).WithFields(map[string]any{"member": change.Member, "outcome": change.Outcome}).Warn("membership change was not proposed")
		return
	}
	s.Log.WithFields(map[string]any{
		"member": change.Member, "outcome": change.Outcome, "members": len(next.GetMembers()), "term": s.node.Term(),
	}).Info("membership change proposed")
}

// participates reports whether this VM is an active member: a voter if the members are listed in
// the settings, otherwise a member that hears from a leader. A VM that was removed while it was
// unresponsive does not hear from one.
func (s *Server) participates(now time.Time) bool {
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == s.key() {
			return m.GetVoter() && len(s.Settings.Seeds) == 0 || len(s.Settings.Seeds) > 0 && s.node.HasActiveLeader(now)
		}
	}
	return false
}
