package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

const (
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	// clockDriftDivisor is the inverse of the relative clock drift between two VMs that leases
	// tolerate.
	clockDriftDivisor   = 50
	maxEntriesPerAppend = 256
	// electionSpreadDivisor divides the election timeout to give the interval over which the voters'
	// election deadlines are staggered. Half of the timeout keeps the deadlines of two out of seven
	// voters some round trips apart, without a long delay when only the last voters are up.
	electionSpreadDivisor = 2
)

// Role is the role of a node in its term.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role in kebab case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// progress is a leader's view of the replication to one other member.
type progress struct {
	nextIndex   uint64
	matchIndex  uint64
	ackedRound  uint64
	lastContact time.Time
	// due is set if the member is to be sent an append with the next effects.
	due bool
	// sentIndex is the last index in flight, sent at sentAt; snapshotSentAt is when the last snapshot
	// was sent.
	sentIndex      uint64
	sentAt         time.Time
	snapshotSentAt time.Time
}

// Node is one control VM's participant in the replicated log; set the exported fields before
// calling Restart.
type Node struct {
	// Self is this VM's member key.
	Self string
	// ElectionTimeout is the minimum time without contact to a leader before an election; 0 means
	// 600 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between the leader's heartbeat rounds; 0 means 100 ms.
	HeartbeatInterval time.Duration
	// Seed seeds the election jitter.
	Seed uint64

	random *rand.Rand

	role Role
	term uint64
	vote string
	// led is set once this node has been elected in the term.
	led          bool
	leader       string
	log          entryLog
	syncedIndex  uint64
	commitIndex  uint64
	appliedIndex uint64
	membership   *wire.Membership
	// membershipIndex is the log index of membership, which takes effect as soon as it is appended.
	membershipIndex    uint64
	snapshotMembership *wire.Membership

	lastLeaderContact time.Time
	electionDeadline  time.Time
	votes             map[string]bool
	progress          map[string]*progress
	round             uint64
	roundSentAt       map[uint64]time.Time
	nextHeartbeat     time.Time
	leaderSince       time.Time
	// lastTick is the time of the last Tick, or of the election as leader if that was later.
	lastTick time.Time

	effects Effects
}

// Restart starts the node from its persistent state. The node grants no vote for one election
// timeout, since a leader's lease may depend on contact from before the restart, but to the VM that
// led its term. If that was this node, it asks for votes at once.
func (n *Node) Restart(now time.Time, stored PersistentState) {
	if n.ElectionTimeout == 0 {
		n.ElectionTimeout = defaultElectionTimeout
	}
	if n.HeartbeatInterval == 0 {
		n.HeartbeatInterval = defaultHeartbeatInterval
	}
	n.random = rand.New(rand.NewPCG(n.Seed, uint64(len(n.Self))))
	n.snapshotMembership = &wire.Membership{}
	n.term = stored.TermAndVote.GetTerm()
	n.vote = stored.TermAndVote.GetVote()
	n.led = stored.TermAndVote.GetLed()
	if s := stored.Snapshot; s != nil {
		n.log.reset(s.GetIndex(), s.GetTerm())
		n.snapshotMembership = s.GetMembership()
		n.commitIndex = s.GetIndex()
		n.appliedIndex = s.GetIndex()
		n.effects.InstallSnapshot = s
	}
	n.log.entries = slices.Clone(stored.Entries)
	n.syncedIndex = n.log.lastIndex()
	n.reloadMembership()
	n.lastLeaderContact = now
	n.resetElectionDeadline(now)
	if n.led {
		n.electionDeadline = now
	}
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// LeaderKey returns the member key of the last known leader of this term, or "" if none is known.
func (n *Node) LeaderKey() string { return n.leader }

// Commit returns the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.commitIndex }

// Membership returns the latest membership in the log; callers must not modify it.
func (n *Node) Membership() *wire.Membership { return n.membership }

// LogLength returns the number of entries after the snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// MatchIndex returns the highest log index that a member is known to have synced.
func (n *Node) MatchIndex(key string) uint64 {
	if key == n.Self {
		return n.syncedIndex
	}
	if p := n.progress[key]; p != nil {
		return p.matchIndex
	}
	return 0
}

// SinceContact returns the time since the leader last heard from a member.
func (n *Node) SinceContact(now time.Time, key string) time.Duration {
	p := n.progress[key]
	if p == nil || key == n.Self {
		return 0
	}
	return now.Sub(p.lastContact)
}

// Tick starts elections and heartbeat rounds that are due; a leader that has lost contact with a
// majority steps down.
func (n *Node) Tick(now time.Time) {
	n.lastTick = now
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDeadline) {
		return
	}
	if isVoter(n.membership, n.Self) {
		n.campaign(now, PreCandidate)
		return
	}
	n.resetElectionDeadline(now)
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.leaderSince) > n.ElectionTimeout && !n.HasLeaderLease(now) {
		n.becomeFollower(now, n.term, "")
		return
	}
	if !now.Before(n.nextHeartbeat) {
		n.broadcast(now)
	}
}

// HasLeaderLease reports whether the node holds the leader's lease, so that no other VM can be the
// leader at now: a majority has answered a round that was sent within the last election timeout,
// reduced by the tolerated clock drift.
func (n *Node) HasLeaderLease(now time.Time) bool {
	if n.role != Leader {
		return false
	}
	sentAt := n.majorityRoundSentAt(now)
	if sentAt.IsZero() {
		return false
	}
	lease := n.ElectionTimeout - n.ElectionTimeout/clockDriftDivisor
	return now.Before(sentAt.Add(lease))
}

// AppliedCurrentTerm reports whether this leader has applied an entry of its own term, so that its
// state machine contains everything that earlier leaders committed.
func (n *Node) AppliedCurrentTerm() bool {
	if n.role != Leader {
		return false
	}
	term, ok := n.log.term(n.appliedIndex)
	return ok && term == n.term
}

// LeaderSince returns when this node became the leader of its term.
func (n *Node) LeaderSince() time.Time { return n.leaderSince }

func (n *Node) majorityRoundSentAt(now time.Time) time.Time {
	var rounds []uint64
	for _, key := range voterKeys(n.membership) {
		switch p := n.progress[key]; {
		case key == n.Self:
			rounds = append(rounds, n.round)
		case p != nil:
			rounds = append(rounds, p.ackedRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	if len(rounds) == 0 {
		return time.Time{}
	}
	slices.Sort(rounds)
	majority := rounds[(len(rounds)-1)/2]
	if majority == n.round && len(rounds) == 1 {
		return now
	}
	return n.roundSentAt[majority]
}

// Propose appends a command and returns its index, or 0 if this node is not the leader.
func (n *Node) Propose(data []byte) uint64 {
	if n.role != Leader {
		return 0
	}
	index := n.append(wire.EntryKind_ENTRY_KIND_COMMAND, data)
	n.sendAppends()
	return index
}

// ProposeMembership appends a membership and returns its index. It returns an error if this node is
// not the leader, has not applied an entry of its term, or an earlier change is not committed.
func (n *Node) ProposeMembership(m *wire.Membership) (uint64, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case !n.AppliedCurrentTerm() || n.membershipIndex > n.commitIndex:
		return 0, ErrChangeInProgress
	}
	if err := checkMembershipChange(n.membership, m); err != nil {
		return 0, err
	}
	index := n.append(wire.EntryKind_ENTRY_KIND_MEMBERSHIP, encodeMembership(m))
	n.reloadMembership()
	n.updateProgress()
	n.sendAppends()
	return index, nil
}

// Compact replaces the log up to the applied index with a snapshot of state, to be persisted with
// the next effects.
func (n *Node) Compact(state []byte) {
	if n.appliedIndex <= n.log.snapshotIndex {
		return
	}
	term, _ := n.log.term(n.appliedIndex)
	membership := n.membershipAsOf(n.appliedIndex)
	n.log.compact(n.appliedIndex)
	n.snapshotMembership = membership
	n.effects.Snapshot = &wire.LogSnapshot{Index: n.appliedIndex, Term: term, Membership: membership, State: state}
	n.effects.TruncateFrom = 0
	n.effects.Entries = slices.Clone(n.log.entries)
}

// TakeEffects returns the effects collected since the last call. All entries proposed since then leave in
// one message to each member.
func (n *Node) TakeEffects() Effects {
	n.sendDueAppends()
	n.collectCommitted()
	e := n.effects
	n.effects = Effects{}
	return e
}

// MarkSynced records that the entries of e are on disk; a leader counts itself towards the majority
// for them.
func (n *Node) MarkSynced(e *Effects) {
	if k := len(e.Entries); k > 0 {
		last := e.Entries[k-1]
		if term, ok := n.log.term(last.GetIndex()); ok && term == last.GetTerm() {
			n.syncedIndex = max(n.syncedIndex, last.GetIndex())
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) collectCommitted() {
	if n.appliedIndex >= n.commitIndex {
		return
	}
	entries := n.log.slice(n.appliedIndex+1, n.commitIndex, int(n.commitIndex-n.appliedIndex))
	n.effects.CommittedEntries = append(n.effects.CommittedEntries, entries...)
	n.appliedIndex = n.commitIndex
}

func (n *Node) append(kind wire.EntryKind, data []byte) uint64 {
	entry := &wire.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.effects.Entries = append(n.effects.Entries, entry)
	return entry.GetIndex()
}

func (n *Node) persistTermAndVote() {
	n.effects.TermAndVote = &wire.HardState{Term: n.term, Vote: n.vote, Led: n.led}
}

// resetElectionDeadline staggers the voters' deadlines in the order of their keys, so that two of
// them seldom request votes at once; the random part separates them when their clocks differ.
func (n *Node) resetElectionDeadline(now time.Time) {
	step, rank := n.ElectionTimeout/electionSpreadDivisor, 0
	if n.membership != nil {
		keys := voterKeys(n.membership)
		step /= time.Duration(max(1, len(keys)))
		rank = max(0, slices.Index(keys, n.Self))
	}
	jitter := time.Duration(rank)*step + time.Duration(n.random.Int64N(int64(step)))
	n.electionDeadline = now.Add(n.ElectionTimeout + n.ElectionTimeout/clockDriftDivisor + jitter)
}

// reloadMembership sets the latest membership in the log, which takes effect as soon as it is
// appended.
func (n *Node) reloadMembership() {
	n.membership = n.snapshotMembership
	n.membershipIndex = n.log.snapshotIndex
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
			n.membership = decodeMembership(e.GetData())
			n.membershipIndex = e.GetIndex()
			return
		}
	}
}

func (n *Node) membershipAsOf(index uint64) *wire.Membership {
	m := n.snapshotMembership
	for _, e := range n.log.entries {
		if e.GetIndex() <= index && e.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
			m = decodeMembership(e.GetData())
		}
	}
	return proto.CloneOf(m)
}

func (n *Node) send(m *wire.AgreementMessage) {
	m.From = n.Self
	n.effects.Messages = append(n.effects.Messages, m)
}
