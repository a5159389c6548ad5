package raft

import (
	"time"

	"trefoilcourse/wire"
)

// preVoteRetryDivisor divides the election timeout to give the minimum delay of a pre-vote retry.
const preVoteRetryDivisor = 8

func (n *Node) campaign(now time.Time, role Role) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.Self: true}
	n.resetElectionDeadline(now)
	if role == PreCandidate {
		// Other voters may have heard from the failed leader slightly later than this node and still
		// ignore a pre-vote; repeating it disrupts no one.
		n.electionDeadline = now.Add(n.ElectionTimeout/preVoteRetryDivisor + time.Duration(n.random.Int64N(int64(n.ElectionTimeout/preVoteRetryDivisor))))
	}
	term, ledTerm := n.term+1, uint64(0)
	if n.led {
		ledTerm = n.term
	}
	kind := wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE
	if role == Candidate {
		n.term = term
		n.vote = n.Self
		n.led = false
		n.persistTermAndVote()
		kind = wire.AgreementKind_AGREEMENT_KIND_VOTE
	}
	for _, key := range voterKeys(n.membership) {
		if key == n.Self {
			continue
		}
		n.send(&wire.AgreementMessage{
			Kind: kind, Term: term, To: key,
			LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(), LedTerm: ledTerm,
		})
	}
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	granted := 0
	keys := voterKeys(n.membership)
	for _, key := range keys {
		if n.votes[key] {
			granted++
		}
	}
	if granted <= len(keys)/2 {
		return
	}
	if n.role == PreCandidate {
		n.campaign(now, Candidate)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) becomeFollower(now time.Time, term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
		n.led = false
		n.persistTermAndVote()
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.resetElectionDeadline(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.Self
	n.leaderSince = now
	n.led = true
	n.persistTermAndVote()
	n.lastTick = now
	n.round = 0
	n.roundSentAt = map[uint64]time.Time{}
	n.progress = map[string]*progress{}
	n.updateProgress()
	n.append(wire.EntryKind_ENTRY_KIND_BARRIER, nil)
	n.broadcast(now)
}

// updateProgress adds progress for new members and deletes that of removed ones.
func (n *Node) updateProgress() {
	for key := range n.progress {
		if !isMember(n.membership, key) {
			delete(n.progress, key)
		}
	}
	for _, member := range n.membership.GetMembers() {
		key := MemberKey(member)
		if key != n.Self && n.progress[key] == nil {
			n.progress[key] = &progress{nextIndex: n.log.lastIndex() + 1, lastContact: n.lastTick}
		}
	}
}

// stepVote handles a request for a vote or a pre-vote.
func (n *Node) stepVote(now time.Time, m *wire.AgreementMessage) {
	preVote := m.GetKind() == wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE
	if n.hasActiveLeader(now) && !n.isFormerLeader(m) {
		return
	}
	if !preVote && m.GetTerm() > n.term {
		n.becomeFollower(now, m.GetTerm(), "")
	}
	grant := n.isLogUpToDate(m) && m.GetTerm() >= n.term
	if preVote {
		grant = grant && m.GetTerm() > n.term
	} else {
		grant = grant && (n.vote == "" || n.vote == m.GetFrom())
	}
	answer := &wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_VOTE_ANSWER,
		Term: n.term, To: m.GetFrom(), Reject: !grant,
	}
	if preVote {
		answer.Kind = wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER
		if grant {
			answer.Term = m.GetTerm()
		}
	}
	if grant && !preVote {
		n.vote = m.GetFrom()
		n.persistTermAndVote()
		n.resetElectionDeadline(now)
	}
	n.send(answer)
}

// HasActiveLeader reports whether this node holds the leader's lease or has heard from a leader
// within the election timeout; LeaderKey may still name a leader that is no longer heard.
func (n *Node) HasActiveLeader(now time.Time) bool { return n.hasActiveLeader(now) }

// hasActiveLeader reports whether a leader's lease may still depend on this node not to vote.
func (n *Node) hasActiveLeader(now time.Time) bool {
	if n.role == Leader {
		return n.HasLeaderLease(now)
	}
	return now.Sub(n.lastLeaderContact) < n.ElectionTimeout
}

// isFormerLeader reports whether the requesting VM led this node's term and leads no more, so that no
// leader's lease depends on this node: its term had no other leader, and the leases of earlier terms
// had ended when that one was elected.
func (n *Node) isFormerLeader(m *wire.AgreementMessage) bool {
	return m.GetLedTerm() > 0 && m.GetLedTerm() == n.term
}

func (n *Node) isLogUpToDate(m *wire.AgreementMessage) bool {
	if m.GetLogTerm() != n.log.lastTerm() {
		return m.GetLogTerm() > n.log.lastTerm()
	}
	return m.GetLogIndex() >= n.log.lastIndex()
}

func (n *Node) stepVoteAnswer(now time.Time, m *wire.AgreementMessage) {
	preVote := m.GetKind() == wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER
	if m.GetReject() {
		if m.GetTerm() > n.term {
			n.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	expectsVote := n.role == Candidate && !preVote && m.GetTerm() == n.term
	expectsPreVote := n.role == PreCandidate && preVote && m.GetTerm() == n.term+1
	if !expectsVote && !expectsPreVote {
		return
	}
	n.votes[m.GetFrom()] = true
	n.countVotes(now)
}
