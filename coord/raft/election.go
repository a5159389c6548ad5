package raft

import (
	"time"

	"trefoilcourse/wire"
)

// preVoteDivisor is the part of an election timeout after which a pre-vote is repeated.
const preVoteDivisor = 8

func (n *Node) campaign(now time.Time, role Role) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.Self: true}
	n.resetDeadline(now)
	if role == PreCandidate {
		// Others may have heard the lost leader a moment later; asking again disturbs nobody.
		n.deadline = now.Add(n.ElectionTimeout/preVoteDivisor + time.Duration(n.random.Int64N(int64(n.ElectionTimeout/preVoteDivisor))))
	}
	term := n.term + 1
	kind := wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE
	if role == Candidate {
		n.term = term
		n.vote = n.Self
		n.persistHard()
		kind = wire.AgreementKind_AGREEMENT_KIND_VOTE
	}
	for _, key := range voters(n.membership) {
		if key == n.Self {
			continue
		}
		n.send(&wire.AgreementMessage{
			Kind: kind, Term: term, To: key,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	granted := 0
	keys := voters(n.membership)
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
		n.persistHard()
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.resetDeadline(now)
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.Self
	n.ledSince = now
	n.at = now
	n.round = 0
	n.roundSent = map[uint64]time.Time{}
	n.progress = map[string]*progress{}
	n.trackMembers()
	n.append(wire.EntryKind_ENTRY_KIND_BARRIER, nil)
	n.broadcast(now)
}

// trackMembers keeps a progress for each other member and none for those that left.
func (n *Node) trackMembers() {
	for key := range n.progress {
		if !isMember(n.membership, key) {
			delete(n.progress, key)
		}
	}
	for _, member := range n.membership.GetMembers() {
		key := MemberKey(member)
		if key != n.Self && n.progress[key] == nil {
			n.progress[key] = &progress{next: n.log.last() + 1, heard: n.at}
		}
	}
}

// stepVote answers a request for a vote or a pre-vote.
func (n *Node) stepVote(now time.Time, m *wire.AgreementMessage) {
	pre := m.GetKind() == wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE
	if n.hasActiveLeader(now) {
		return
	}
	if !pre && m.GetTerm() > n.term {
		n.becomeFollower(now, m.GetTerm(), "")
	}
	grant := n.logUpToDate(m) && m.GetTerm() >= n.term
	if pre {
		grant = grant && m.GetTerm() > n.term
	} else {
		grant = grant && (n.vote == "" || n.vote == m.GetFrom())
	}
	answer := &wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_VOTE_ANSWER,
		Term: n.term, To: m.GetFrom(), Reject: !grant,
	}
	if pre {
		answer.Kind = wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER
		if grant {
			answer.Term = m.GetTerm()
		}
	}
	if grant && !pre {
		n.vote = m.GetFrom()
		n.persistHard()
		n.resetDeadline(now)
	}
	n.send(answer)
}

// HasActiveLeader reports whether this node leads or has lately heard who does, unlike LeaderKey, which
// names the last one heard of.
func (n *Node) HasActiveLeader(now time.Time) bool { return n.hasActiveLeader(now) }

// hasActiveLeader reports whether a leader may still count on this node not to vote.
func (n *Node) hasActiveLeader(now time.Time) bool {
	if n.role == Leader {
		return n.HasLeaderLease(now)
	}
	return now.Sub(n.heardLeader) < n.ElectionTimeout
}

func (n *Node) logUpToDate(m *wire.AgreementMessage) bool {
	if m.GetLogTerm() != n.log.lastTerm() {
		return m.GetLogTerm() > n.log.lastTerm()
	}
	return m.GetLogIndex() >= n.log.last()
}

func (n *Node) stepVoteAnswer(now time.Time, m *wire.AgreementMessage) {
	pre := m.GetKind() == wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER
	if m.GetReject() {
		if m.GetTerm() > n.term {
			n.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	wanted := n.role == Candidate && !pre && m.GetTerm() == n.term
	wantedPre := n.role == PreCandidate && pre && m.GetTerm() == n.term+1
	if !wanted && !wantedPre {
		return
	}
	n.votes[m.GetFrom()] = true
	n.countVotes(now)
}
