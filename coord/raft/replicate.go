package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

const maxRoundsKept = 64

// Step handles a message from another control VM; it is safe for messages to be lost, late,
// repeated or out of order.
func (n *Node) Step(now time.Time, m *wire.AgreementMessage) {
	if m.GetTo() != n.Self {
		return
	}
	switch m.GetKind() {
	case wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE, wire.AgreementKind_AGREEMENT_KIND_VOTE:
		n.stepVote(now, m)
	case wire.AgreementKind_AGREEMENT_KIND_PRE_VOTE_ANSWER, wire.AgreementKind_AGREEMENT_KIND_VOTE_ANSWER:
		n.stepVoteAnswer(now, m)
	case wire.AgreementKind_AGREEMENT_KIND_APPEND:
		n.stepAppend(now, m)
	case wire.AgreementKind_AGREEMENT_KIND_SNAPSHOT:
		n.stepSnapshot(now, m)
	case wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER:
		n.stepAppendAnswer(now, m)
	}
}

// broadcast starts a round: every member is sent what it lacks, at least a heartbeat.
func (n *Node) broadcast(now time.Time) {
	n.round++
	n.roundSent[n.round] = now
	if n.round > maxRoundsKept {
		delete(n.roundSent, n.round-maxRoundsKept)
	}
	n.nextRound = now.Add(n.HeartbeatInterval)
	n.sendAppends()
}

func (n *Node) sendAppends() {
	for _, member := range n.membership.GetMembers() {
		key := MemberKey(member)
		if p := n.progress[key]; p != nil {
			n.sendAppend(key, p)
		}
	}
}

// sendAppend sends a member what it lacks and is not under way already: a member that is slow to
// sync would otherwise be sent the same entries with each heartbeat.
func (n *Node) sendAppend(key string, p *progress) {
	from := p.next
	if p.sent >= p.next && n.underWay(p.sentAt) {
		from = p.sent + 1
	}
	term, ok := n.log.term(from - 1)
	if !ok {
		if !n.underWay(p.snapshotAt) {
			p.snapshotAt = n.at
			n.sendSnapshot(key)
		}
		return
	}
	entries := n.log.slice(from, n.log.last(), maxAppendEntries)
	if len(entries) > 0 {
		p.sent, p.sentAt = entries[len(entries)-1].GetIndex(), n.at
	}
	n.send(&wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND, Term: n.term, To: key,
		LogIndex: from - 1, LogTerm: term, Commit: n.commit, Round: n.round,
		Entries: entries,
	})
}

// underWay reports whether what was sent at a time may still be answered.
func (n *Node) underWay(sent time.Time) bool {
	return !sent.IsZero() && n.at.Sub(sent) < n.ElectionTimeout
}

// sendSnapshot asks the driver to attach the state: the node itself does not keep it.
func (n *Node) sendSnapshot(key string) {
	n.send(&wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_SNAPSHOT, Term: n.term, To: key,
		Commit: n.commit, Round: n.round,
		Snapshot: &wire.LogSnapshot{
			Index: n.log.snapshotIndex, Term: n.log.snapshotTerm,
			Membership: proto.CloneOf(n.baseMembership),
		},
	})
}

// followLeader takes note of a leader's message and reports whether it is current.
func (n *Node) followLeader(now time.Time, m *wire.AgreementMessage) bool {
	if m.GetTerm() < n.term {
		n.send(&wire.AgreementMessage{
			Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER,
			Term: n.term, To: m.GetFrom(), Reject: true, LogIndex: n.log.last(),
		})
		return false
	}
	n.becomeFollower(now, m.GetTerm(), m.GetFrom())
	n.heardLeader = now
	return true
}

func (n *Node) stepAppend(now time.Time, m *wire.AgreementMessage) {
	if !n.followLeader(now, m) {
		return
	}
	answer := &wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER,
		Term: n.term, To: m.GetFrom(), Round: m.GetRound(),
	}
	if m.GetLogIndex() < n.log.snapshotIndex {
		answer.LogIndex = n.log.snapshotIndex
		n.send(answer)
		return
	}
	term, ok := n.log.term(m.GetLogIndex())
	if !ok || term != m.GetLogTerm() {
		answer.Reject = true
		answer.LogIndex = min(n.log.last(), m.GetLogIndex()-1)
		n.send(answer)
		return
	}
	n.appendFromLeader(m.GetEntries())
	answer.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commit = max(n.commit, min(m.GetCommit(), answer.LogIndex))
	n.send(answer)
}

func (n *Node) appendFromLeader(entries []*wire.LogEntry) {
	for i, e := range entries {
		term, ok := n.log.term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		if ok {
			n.truncate(e.GetIndex())
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		n.effects.Entries = append(n.effects.Entries, entries[i:]...)
		n.refreshMembership()
		return
	}
}

func (n *Node) truncate(index uint64) {
	if index <= n.commit {
		panic("raft: a committed entry would be overwritten")
	}
	n.log.truncate(index)
	n.synced = min(n.synced, index-1)
	keep := n.effects.Entries[:0:0]
	for _, e := range n.effects.Entries {
		if e.GetIndex() < index {
			keep = append(keep, e)
		}
	}
	n.effects.Entries = keep
	if n.effects.TruncateFrom == 0 || index < n.effects.TruncateFrom {
		n.effects.TruncateFrom = index
	}
}

func (n *Node) stepSnapshot(now time.Time, m *wire.AgreementMessage) {
	if !n.followLeader(now, m) {
		return
	}
	s := m.GetSnapshot()
	if s.GetIndex() > n.commit {
		n.installSnapshot(s)
	}
	n.send(&wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER,
		Term: n.term, To: m.GetFrom(), Round: m.GetRound(),
		LogIndex: max(s.GetIndex(), n.commit),
	})
}

func (n *Node) installSnapshot(s *wire.LogSnapshot) {
	n.log.reset(s.GetIndex(), s.GetTerm())
	n.baseMembership = s.GetMembership()
	n.refreshMembership()
	n.commit = s.GetIndex()
	n.applied = s.GetIndex()
	n.synced = s.GetIndex()
	n.effects.Snapshot = s
	n.effects.InstallSnapshot = s
	n.effects.TruncateFrom = 0
	n.effects.Entries = nil
	n.effects.CommittedEntries = nil
}

func (n *Node) stepAppendAnswer(now time.Time, m *wire.AgreementMessage) {
	if m.GetTerm() > n.term {
		n.becomeFollower(now, m.GetTerm(), "")
		return
	}
	p := n.progress[m.GetFrom()]
	if n.role != Leader || m.GetTerm() != n.term || p == nil {
		return
	}
	p.heard = now
	p.ackedRound = max(p.ackedRound, m.GetRound())
	if m.GetReject() {
		p.next = max(p.match+1, min(p.next, m.GetLogIndex()+1))
		p.sent = 0
		n.sendAppend(m.GetFrom(), p)
		return
	}
	p.match = max(p.match, m.GetLogIndex())
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if p.next <= n.log.last() {
		n.sendAppend(m.GetFrom(), p)
	}
}

// advanceCommit commits the highest entry of this term that a majority of voters has synced.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, key := range voters(n.membership) {
		matches = append(matches, n.MatchIndex(key))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, ok := n.log.term(index)
	if !ok || term != n.term || index <= n.commit {
		return
	}
	n.commit = index
	n.sendAppends()
}
