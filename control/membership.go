package control

import (
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/roster"
	"trefoilcourse/wire"
)

// welcome lets a control VM that asks to join take part without a vote.
func (s *Server) welcome(newcomer *wire.ControlMember) {
	if len(s.Settings.Seeds) == 0 && !s.expects(newcomer) {
		return
	}
	s.change(roster.AddLearner(s.node.Membership(), newcomer))
}

// expects reports whether the settings or the membership name the VM.
func (s *Server) expects(newcomer *wire.ControlMember) bool {
	for _, m := range s.node.Membership().GetMembers() {
		if m.GetVm() == newcomer.GetVm() {
			return true
		}
	}
	return s.Settings.Peers[newcomer.GetVm()] != ""
}

// tendMembership gives votes to learners that have caught up, and takes them from the silent.
func (s *Server) tendMembership() {
	now := clock.Now()
	next, change := roster.NextMembership(s.node.Membership(), s.Settings.ToleratedLosses, func(key string) roster.Progress {
		match := s.node.MatchIndex(key)
		standing := roster.Progress{HasEntries: match > 0, SinceContact: s.node.SinceContact(now, key)}
		if commit := s.node.Commit(); match < commit {
			standing.Lag = commit - match
		}
		if len(s.Settings.Seeds) == 0 {
			// VMs that the settings name keep their votes however long they are silent.
			standing.SinceContact = 0
		}
		return standing
	})
	s.change(next, change)
}

func (s *Server) change(next *wire.Membership, change roster.Change) {
	if next == nil {
		return
	}
	if _, err := s.node.ProposeMembership(next); err != nil {
		s.Log.WithError(err).WithFields(map[string]any{"member": change.Member, "outcome": change.Outcome}).Warn("membership is not changed yet")
		return
	}
	s.Log.WithFields(map[string]any{
		"member": change.Member, "outcome": change.Outcome, "members": len(next.GetMembers()), "term": s.node.Term(),
	}).Info("membership of the control VMs changes")
}

// belongs reports whether this VM takes part: it votes, or, where members come and go, it is a
// member that hears a leader; one that was left out while it was silent hears none.
func (s *Server) belongs(now time.Time) bool {
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == s.key() {
			return m.GetVoter() && len(s.Settings.Seeds) == 0 || len(s.Settings.Seeds) > 0 && s.node.HasActiveLeader(now)
		}
	}
	return false
}
