package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

// maxTrackedRounds bounds the heartbeat rounds whose send times are kept.
const maxTrackedRounds = 64

// Step handles a message from another control VM; messages may be lost, delayed, duplicated or
// reordered.
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

// broadcast starts a round: it sends every member the entries it is missing, or a heartbeat.
func (n *Node) broadcast(now time.Time) {
	n.round++
	n.roundSentAt[n.round] = now
	if n.round > maxTrackedRounds {
		delete(n.roundSentAt, n.round-maxTrackedRounds)
	}
	n.nextHeartbeat = now.Add(n.HeartbeatInterval)
	n.sendAppends()
}

// sendAppends has an append sent to each member with the next effects.
func (n *Node) sendAppends() {
	for _, p := range n.progress {
		p.due = true
	}
}

// sendDueAppends sends one append to each member that is due one. A message for each proposal would cost
// as much as a renewal each, and a thousand of them overflow the queues to the other VMs.
func (n *Node) sendDueAppends() {
	for _, member := range n.membership.GetMembers() {
		key := MemberKey(member)
		if p := n.progress[key]; p != nil && p.due {
			p.due = false
			n.sendAppend(key, p)
		}
	}
}

// sendAppend sends a member the missing entries that are not in flight already; a member with slow
// syncs would otherwise be sent the same entries with each heartbeat.
func (n *Node) sendAppend(key string, p *progress) {
	from := p.nextIndex
	if p.sentIndex >= p.nextIndex && n.inFlight(p.sentAt) {
		from = p.sentIndex + 1
	}
	term, ok := n.log.term(from - 1)
	if !ok {
		if !n.inFlight(p.snapshotSentAt) {
			p.snapshotSentAt = n.lastTick
			n.sendSnapshot(key)
		}
		return
	}
	entries := n.log.slice(from, n.log.lastIndex(), maxEntriesPerAppend)
	if len(entries) > 0 {
		p.sentIndex, p.sentAt = entries[len(entries)-1].GetIndex(), n.lastTick
	}
	n.send(&wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND, Term: n.term, To: key,
		LogIndex: from - 1, LogTerm: term, Commit: n.commitIndex, Round: n.round,
		Entries: entries,
	})
}

// inFlight reports whether a message sent at sentAt may still be answered.
func (n *Node) inFlight(sentAt time.Time) bool {
	return !sentAt.IsZero() && n.lastTick.Sub(sentAt) < n.ElectionTimeout
}

// sendSnapshot sends the snapshot's metadata; the driver attaches the state, which the node does
// not keep.
func (n *Node) sendSnapshot(key string) {
	n.send(&wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_SNAPSHOT, Term: n.term, To: key,
		Commit: n.commitIndex, Round: n.round,
		Snapshot: &wire.LogSnapshot{
			Index: n.log.snapshotIndex, Term: n.log.snapshotTerm,
			Membership: proto.CloneOf(n.snapshotMembership),
		},
	})
}

// acceptLeader follows the sender of a leader's message, or rejects the message and returns false
// if its term is old.
func (n *Node) acceptLeader(now time.Time, m *wire.AgreementMessage) bool {
	if m.GetTerm() < n.term {
		n.send(&wire.AgreementMessage{
			Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER,
			Term: n.term, To: m.GetFrom(), Reject: true, LogIndex: n.log.lastIndex(),
		})
		return false
	}
	n.becomeFollower(now, m.GetTerm(), m.GetFrom())
	n.lastLeaderContact = now
	return true
}

func (n *Node) stepAppend(now time.Time, m *wire.AgreementMessage) {
	if !n.acceptLeader(now, m) {
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
		answer.LogIndex = min(n.log.lastIndex(), m.GetLogIndex()-1)
		n.send(answer)
		return
	}
	n.appendFromLeader(m.GetEntries())
	answer.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commitIndex = max(n.commitIndex, min(m.GetCommit(), answer.LogIndex))
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
		n.reloadMembership()
		return
	}
}

func (n *Node) truncate(index uint64) {
	if index <= n.commitIndex {
		panic("raft: cannot truncate a committed entry")
	}
	n.log.truncate(index)
	n.syncedIndex = min(n.syncedIndex, index-1)
	kept := n.effects.Entries[:0:0]
	for _, e := range n.effects.Entries {
		if e.GetIndex() < index {
			kept = append(kept, e)
		}
	}
	n.effects.Entries = kept
	if n.effects.TruncateFrom == 0 || index < n.effects.TruncateFrom {
		n.effects.TruncateFrom = index
	}
}

func (n *Node) stepSnapshot(now time.Time, m *wire.AgreementMessage) {
	if !n.acceptLeader(now, m) {
		return
	}
	s := m.GetSnapshot()
	if s.GetIndex() > n.commitIndex {
		n.installSnapshot(s)
	}
	n.send(&wire.AgreementMessage{
		Kind: wire.AgreementKind_AGREEMENT_KIND_APPEND_ANSWER,
		Term: n.term, To: m.GetFrom(), Round: m.GetRound(),
		LogIndex: max(s.GetIndex(), n.commitIndex),
	})
}

func (n *Node) installSnapshot(s *wire.LogSnapshot) {
	n.log.reset(s.GetIndex(), s.GetTerm())
	n.snapshotMembership = s.GetMembership()
	n.reloadMembership()
	n.commitIndex = s.GetIndex()
	n.appliedIndex = s.GetIndex()
	n.syncedIndex = s.GetIndex()
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
	p.lastContact = now
	p.ackedRound = max(p.ackedRound, m.GetRound())
	if m.GetReject() {
		p.nextIndex = max(p.matchIndex+1, min(p.nextIndex, m.GetLogIndex()+1))
		p.sentIndex = 0
		p.due = true
		return
	}
	p.matchIndex = max(p.matchIndex, m.GetLogIndex())
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommit()
	if p.nextIndex <= n.log.lastIndex() {
		p.due = true
	}
}

// advanceCommit commits the highest index synced by a majority of voters if its entry is of this
// term.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, key := range voterKeys(n.membership) {
		matches = append(matches, n.MatchIndex(key))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, ok := n.log.term(index)
	if !ok || term != n.term || index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	n.sendAppends()
}
