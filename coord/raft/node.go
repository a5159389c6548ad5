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
	// driftDivisor is the inverse of the clock rate error that leases tolerate between two VMs.
	driftDivisor     = 50
	maxAppendEntries = 256
	// spreadDivisor is the part of an election timeout over which the voters' own times are spread:
	// of seven voters two are some round trips apart, and the last one need not wait long when only
	// the last ones are up.
	spreadDivisor = 2
)

// Role is what a node is in its term.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in kebab case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// progress is what a leader knows of one other member.
type progress struct {
	next       uint64
	match      uint64
	ackedRound uint64
	heard      time.Time
	// sent is the last index under way, since sentAt; snapshotAt is when a snapshot was sent.
	sent       uint64
	sentAt     time.Time
	snapshotAt time.Time
}

// Node is one control VM's part in the replicated log; set the exported fields before Restart.
type Node struct {
	// Self is this VM's member key.
	Self string
	// ElectionTimeout is the least silence of a leader before an election; 0 means 600 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's rounds; 0 means 100 ms.
	HeartbeatInterval time.Duration
	// Seed fixes the election jitter.
	Seed uint64

	random *rand.Rand

	role       Role
	term       uint64
	vote       string
	leader     string
	log        entryLog
	synced     uint64
	commit     uint64
	applied    uint64
	membership *wire.Membership
	// membershipAt is the log index of membership; it is in force once appended.
	membershipAt   uint64
	baseMembership *wire.Membership

	heardLeader time.Time
	deadline    time.Time
	votes       map[string]bool
	progress    map[string]*progress
	round       uint64
	roundSent   map[uint64]time.Time
	nextRound   time.Time
	ledSince    time.Time
	// at is the time of the last tick.
	at time.Time

	effects Effects
}

// Restart starts the node from what its data folder held; it votes for nobody until a whole
// election timeout has passed, since it may have promised that to a leader it forgot.
func (n *Node) Restart(now time.Time, stored PersistentState) {
	if n.ElectionTimeout == 0 {
		n.ElectionTimeout = defaultElectionTimeout
	}
	if n.HeartbeatInterval == 0 {
		n.HeartbeatInterval = defaultHeartbeatInterval
	}
	n.random = rand.New(rand.NewPCG(n.Seed, uint64(len(n.Self))))
	n.baseMembership = &wire.Membership{}
	n.term = stored.HardState.GetTerm()
	n.vote = stored.HardState.GetVote()
	if s := stored.Snapshot; s != nil {
		n.log.reset(s.GetIndex(), s.GetTerm())
		n.baseMembership = s.GetMembership()
		n.commit = s.GetIndex()
		n.applied = s.GetIndex()
		n.effects.InstallSnapshot = s
	}
	n.log.entries = slices.Clone(stored.Entries)
	n.synced = n.log.last()
	n.refreshMembership()
	n.heardLeader = now
	n.resetDeadline(now)
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// LeaderKey returns the member key of the leader of this term, or "" when it is unknown.
func (n *Node) LeaderKey() string { return n.leader }

// CommitIndex returns the highest index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commit }

// Membership returns the latest membership in the log; it must not be changed.
func (n *Node) Membership() *wire.Membership { return n.membership }

// LogLength returns the number of entries after the snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// MatchIndex returns the highest index that the leader knows to be synced by a member.
func (n *Node) MatchIndex(key string) uint64 {
	if key == n.Self {
		return n.synced
	}
	if p := n.progress[key]; p != nil {
		return p.match
	}
	return 0
}

// SinceContact returns how long a leader has not heard from a member.
func (n *Node) SinceContact(now time.Time, key string) time.Duration {
	p := n.progress[key]
	if p == nil || key == n.Self {
		return 0
	}
	return now.Sub(p.heard)
}

// Tick lets time pass: it starts elections and rounds, and a leader that has lost touch with
// its majority steps down.
func (n *Node) Tick(now time.Time) {
	n.at = now
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.deadline) {
		return
	}
	if isVoter(n.membership, n.Self) {
		n.campaign(now, PreCandidate)
		return
	}
	n.resetDeadline(now)
}

func (n *Node) tickLeader(now time.Time) {
	if now.Sub(n.ledSince) > n.ElectionTimeout && !n.HasLeaderLease(now) {
		n.becomeFollower(now, n.term, "")
		return
	}
	if !now.Before(n.nextRound) {
		n.broadcast(now)
	}
}

// HasLeaderLease reports whether no other VM can be the leader at now, without a message: a
// majority answered a round sent less than an election timeout ago, less the clock drift.
func (n *Node) HasLeaderLease(now time.Time) bool {
	if n.role != Leader {
		return false
	}
	sent := n.majorityRoundSent(now)
	if sent.IsZero() {
		return false
	}
	lease := n.ElectionTimeout - n.ElectionTimeout/driftDivisor
	return now.Before(sent.Add(lease))
}

// AppliedCurrentTerm reports whether an entry of this leader's own term has been committed and applied,
// so that everything committed by earlier leaders is in its state machine.
func (n *Node) AppliedCurrentTerm() bool {
	if n.role != Leader {
		return false
	}
	term, ok := n.log.term(n.applied)
	return ok && term == n.term
}

// LeaderSince returns when this node became the leader of its term.
func (n *Node) LeaderSince() time.Time { return n.ledSince }

func (n *Node) majorityRoundSent(now time.Time) time.Time {
	var rounds []uint64
	for _, key := range voters(n.membership) {
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
	return n.roundSent[majority]
}

// Propose appends a command if this node leads and returns its index, or 0 when it does not.
func (n *Node) Propose(data []byte) uint64 {
	if n.role != Leader {
		return 0
	}
	index := n.append(wire.EntryKind_ENTRY_KIND_COMMAND, data)
	n.sendAppends()
	return index
}

// ProposeMembership appends a membership if this node leads, has settled, and no other change
// is under way; it returns the index, or an error that says why not.
func (n *Node) ProposeMembership(m *wire.Membership) (uint64, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case !n.AppliedCurrentTerm() || n.membershipAt > n.commit:
		return 0, ErrChangeInProgress
	}
	if err := checkChange(n.membership, m); err != nil {
		return 0, err
	}
	index := n.append(wire.EntryKind_ENTRY_KIND_MEMBERSHIP, encodeMembership(m))
	n.refreshMembership()
	n.trackMembers()
	n.sendAppends()
	return index, nil
}

// Compact replaces the log up to the applied index by a snapshot with state and persists it.
func (n *Node) Compact(state []byte) {
	if n.applied <= n.log.snapshotIndex {
		return
	}
	term, _ := n.log.term(n.applied)
	members := n.membershipUpTo(n.applied)
	n.log.compact(n.applied)
	n.baseMembership = members
	n.effects.Snapshot = &wire.LogSnapshot{Index: n.applied, Term: term, Membership: members, State: state}
	n.effects.TruncateFrom = 0
	n.effects.Entries = slices.Clone(n.log.entries)
}

// TakeEffects returns the effects collected since the last call.
func (n *Node) TakeEffects() Effects {
	n.collectCommitted()
	e := n.effects
	n.effects = Effects{}
	return e
}

// MarkSynced tells the node that the entries of e are on disk, which a leader counts as its own vote.
func (n *Node) MarkSynced(e *Effects) {
	if k := len(e.Entries); k > 0 {
		last := e.Entries[k-1]
		if term, ok := n.log.term(last.GetIndex()); ok && term == last.GetTerm() {
			n.synced = max(n.synced, last.GetIndex())
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) collectCommitted() {
	if n.applied >= n.commit {
		return
	}
	entries := n.log.slice(n.applied+1, n.commit, int(n.commit-n.applied))
	n.effects.CommittedEntries = append(n.effects.CommittedEntries, entries...)
	n.applied = n.commit
}

func (n *Node) append(kind wire.EntryKind, data []byte) uint64 {
	entry := &wire.LogEntry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.effects.Entries = append(n.effects.Entries, entry)
	return entry.GetIndex()
}

func (n *Node) persistHard() {
	n.effects.HardState = &wire.HardState{Term: n.term, Vote: n.vote}
}

// resetDeadline gives each voter a time of its own, in the order of their keys, so that two of
// them seldom ask for votes at once; what is left to chance keeps them apart when clocks differ.
func (n *Node) resetDeadline(now time.Time) {
	step, rank := n.ElectionTimeout/spreadDivisor, 0
	if n.membership != nil {
		all := voters(n.membership)
		step /= time.Duration(max(1, len(all)))
		rank = max(0, slices.Index(all, n.Self))
	}
	jitter := time.Duration(rank)*step + time.Duration(n.random.Int64N(int64(step)))
	n.deadline = now.Add(n.ElectionTimeout + n.ElectionTimeout/driftDivisor + jitter)
}

// refreshMembership finds the latest membership in the log; it counts as soon as it is appended.
func (n *Node) refreshMembership() {
	n.membership = n.baseMembership
	n.membershipAt = n.log.snapshotIndex
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if e.GetKind() == wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
			n.membership = decodeMembership(e.GetData())
			n.membershipAt = e.GetIndex()
			return
		}
	}
}

func (n *Node) membershipUpTo(index uint64) *wire.Membership {
	m := n.baseMembership
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
