package raft_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

const step = 10 * time.Millisecond

// disk keeps what was synced; a crash loses all else.
type disk struct {
	hard     *wire.HardState
	snapshot *wire.LogSnapshot
	entries  []*wire.LogEntry
}

func (d *disk) save(e *raft.Effects) {
	if e.HardState != nil {
		d.hard = proto.CloneOf(e.HardState)
	}
	if e.Snapshot != nil {
		d.snapshot = proto.CloneOf(e.Snapshot)
		d.entries = nil
	}
	if e.TruncateFrom > 0 {
		for i, entry := range d.entries {
			if entry.GetIndex() >= e.TruncateFrom {
				d.entries = d.entries[:i]
				break
			}
		}
	}
	for _, entry := range e.Entries {
		d.entries = append(d.entries, proto.CloneOf(entry))
	}
}

func (d *disk) stored() raft.PersistentState {
	return raft.PersistentState{HardState: d.hard, Snapshot: d.snapshot, Entries: append([]*wire.LogEntry(nil), d.entries...)}
}

// member is one control VM of the test: a node, its disk, and a state machine that is the list
// of the commands applied.
type member struct {
	key     string
	node    *raft.Node
	disk    *disk
	applied []string
	up      bool
	skew    time.Duration
}

type envelope struct {
	message *wire.AgreementMessage
	due     time.Time
}

// cluster drives nodes in virtual time over a network that loses, delays and repeats.
type cluster struct {
	now       time.Time
	random    *rand.Rand
	members   map[string]*member
	order     []string
	flight    []envelope
	cut       map[[2]string]bool
	loss      float64
	committed []string
	leaders   map[uint64]string
	faults    []string
	lives     int
}

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		members: map[string]*member{}, cut: map[[2]string]bool{}, leaders: map[uint64]string{},
	}
	membership := &wire.Membership{}
	for i := range size {
		membership.Members = append(membership.Members, &wire.ControlMember{Vm: fmt.Sprintf("c%d", i), Incarnation: "0", Voter: true})
	}
	for _, m := range membership.GetMembers() {
		c.add(raft.MemberKey(m), &disk{snapshot: &wire.LogSnapshot{Membership: membership}})
	}
	return c
}

func (c *cluster) add(key string, d *disk) *member {
	m := &member{key: key, disk: d, up: true}
	c.members[key] = m
	c.order = append(c.order, key)
	c.boot(m)
	return m
}

func (c *cluster) boot(m *member) {
	c.lives++
	m.node = &raft.Node{Self: m.key, Seed: uint64(c.lives)}
	m.applied = nil
	m.node.Restart(c.now, m.disk.stored())
	m.up = true
	c.carryOut(m, false)
}

func (c *cluster) crash(key string) { c.members[key].up = false }

// carryOut persists, sends and applies; with torn set the VM crashes after its sync and before
// anything is sent.
func (c *cluster) carryOut(m *member, torn bool) {
	for m.up {
		e := m.node.TakeEffects()
		if e.Empty() {
			return
		}
		m.disk.save(&e)
		if torn {
			m.up = false
			return
		}
		m.node.MarkSynced(&e)
		for _, message := range e.Messages {
			c.send(m, message)
		}
		c.apply(m, &e)
	}
}

func (c *cluster) send(m *member, message *wire.AgreementMessage) {
	if message.GetKind() == wire.AgreementKind_AGREEMENT_KIND_SNAPSHOT {
		message.Snapshot = m.disk.snapshot
	}
	for copies := 1; copies > 0; copies-- {
		if c.random.Float64() < c.loss {
			continue
		}
		if c.random.Float64() < c.loss/2 {
			copies++
		}
		delay := time.Duration(c.random.IntN(30)) * time.Millisecond
		if c.random.Float64() < c.loss {
			delay = time.Duration(c.random.IntN(1500)) * time.Millisecond
		}
		c.flight = append(c.flight, envelope{proto.CloneOf(message), c.now.Add(delay)})
	}
}

func (c *cluster) apply(m *member, e *raft.Effects) {
	if e.InstallSnapshot != nil {
		m.applied = decodeState(e.InstallSnapshot.GetState())
	}
	for _, entry := range e.CommittedEntries {
		if entry.GetKind() != wire.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		m.applied = append(m.applied, string(entry.GetData()))
	}
	c.checkApplied(m)
	if len(e.CommittedEntries) > 0 && m.node.LogLength() > 12 {
		m.node.Compact(encodeState(m.applied))
	}
}

// checkApplied compares a state machine with the longest one that was ever seen.
func (c *cluster) checkApplied(m *member) {
	for i, command := range m.applied {
		if i >= len(c.committed) {
			c.committed = append(c.committed, command)
		}
		if c.committed[i] != command {
			c.fail("%s applied %q at %d where %q was committed", m.key, command, i, c.committed[i])
			return
		}
	}
}

func (c *cluster) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func encodeState(applied []string) []byte {
	entries := &wire.Command{Publish: &wire.PublishRequest{}}
	for _, command := range applied {
		entries.Publish.Objects = append(entries.Publish.Objects, &wire.Object{Name: command})
	}
	data, _ := proto.Marshal(entries)
	return data
}

func decodeState(data []byte) []string {
	entries := &wire.Command{}
	if proto.Unmarshal(data, entries) != nil {
		return nil
	}
	var applied []string
	for _, o := range entries.GetPublish().GetObjects() {
		applied = append(applied, o.GetName())
	}
	return applied
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		c.deliver()
		for _, key := range c.order {
			m := c.members[key]
			if m.up {
				m.node.Tick(c.now.Add(m.skew))
				c.carryOut(m, false)
			}
		}
		c.checkLeaders()
	}
}

func (c *cluster) deliver() {
	due := c.flight
	c.flight = nil
	for _, e := range due {
		if e.due.After(c.now) {
			c.flight = append(c.flight, e)
			continue
		}
		to := c.members[e.message.GetTo()]
		if to == nil || !to.up || c.cut[[2]string{e.message.GetFrom(), e.message.GetTo()}] {
			continue
		}
		to.node.Step(c.now.Add(to.skew), e.message)
		c.carryOut(to, false)
	}
}

// checkLeaders checks that a term has one leader, and that at no time two VMs may answer as one.
func (c *cluster) checkLeaders() {
	leading := ""
	for _, key := range c.order {
		m := c.members[key]
		if !m.up || m.node.Role() != raft.Leader {
			continue
		}
		if other, ok := c.leaders[m.node.Term()]; ok && other != key {
			c.fail("term %d has two leaders, %s and %s", m.node.Term(), other, key)
		}
		c.leaders[m.node.Term()] = key
		if m.node.HasLeaderLease(c.now.Add(m.skew)) {
			if leading != "" {
				c.fail("%s and %s both may answer as the leader", leading, key)
			}
			leading = key
		}
	}
}

// leader returns the member that may answer as the leader, or nil.
func (c *cluster) leader() *member {
	for _, key := range c.order {
		m := c.members[key]
		if m.up && m.node.HasLeaderLease(c.now.Add(m.skew)) && m.node.AppliedCurrentTerm() {
			return m
		}
	}
	return nil
}

// awaitLeader runs until there is a leader, for at most d.
func (c *cluster) awaitLeader(d time.Duration) *member {
	for end := c.now.Add(d); c.now.Before(end); c.run(step) {
		if m := c.leader(); m != nil {
			return m
		}
	}
	return c.leader()
}

func (c *cluster) isolate(key string, cut bool) {
	for _, other := range c.order {
		c.cut[[2]string{key, other}] = cut
		c.cut[[2]string{other, key}] = cut
	}
}

func (c *cluster) heal() {
	c.cut = map[[2]string]bool{}
	c.loss = 0
	for _, key := range c.order {
		if m := c.members[key]; !m.up && m.disk != nil {
			c.boot(m)
		}
	}
}
