package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/config"
	"trefoilcourse/wire"
)

const (
	// maxPublishResults is the number of outcomes kept to answer a repeated publish.
	maxPublishResults = 4096
	// maxHistoryEntries is the number of accepted publishes kept in the history.
	maxHistoryEntries = 1024
	// maxTombstones is the number of deleted objects kept so that a delta can list them.
	maxTombstones = 4096
)

// Machine is the replicated state; it is not safe for concurrent use.
type Machine struct {
	version        uint64
	objects        map[config.Key]*wire.Object
	publishResults []*wire.PublishResult
	history        []*wire.HistoryEntry
	primaries      map[string]*wire.Primary
	groupRevision  uint64
	// revisions holds the groupRevision of each group's last change.
	revisions          map[string]uint64
	oldestDeltaVersion uint64
	publishNumber      uint64
	publishedDocument  []byte
	owners             map[string]*wire.Owners
	servers            map[string]map[string]*wire.Announcement
	// deltas caches the changes since earlier versions until the next accepted publish.
	deltas map[uint64]*delta
}

// New returns a machine in the state before the first command.
func New() *Machine {
	return &Machine{
		objects: map[config.Key]*wire.Object{}, primaries: map[string]*wire.Primary{},
		owners: map[string]*wire.Owners{}, servers: map[string]map[string]*wire.Announcement{},
		revisions: map[string]uint64{},
	}
}

// Version returns the configuration version, or 0 before the first publish.
func (m *Machine) Version() uint64 { return m.version }

// Number returns the number that the operator gave the current configuration, or 0.
func (m *Machine) Number() uint64 { return m.publishNumber }

// Document returns the document that the operator published, unchanged, or nil if there is none.
func (m *Machine) Document() []byte { return m.publishedDocument }

// GroupRevision returns a number that grows with every change of a recorded primary, owner or
// server, so that a reader detects changes by comparing it.
func (m *Machine) GroupRevision() uint64 { return m.groupRevision }

// RevisionOf returns the GroupRevision of the last change of what is recorded about a group, or 0.
func (m *Machine) RevisionOf(group string) uint64 { return m.revisions[group] }

func (m *Machine) touch(group string) {
	m.groupRevision++
	m.revisions[group] = m.groupRevision
}

// Primary returns the recorded primary of a group, or nil.
func (m *Machine) Primary(group string) *wire.Primary { return m.primaries[group] }

// Owners returns the recorded owners of an announced group, or nil.
func (m *Machine) Owners(group string) *wire.Owners { return m.owners[group] }

// Servers returns the recorded servers of an announced group by slot; callers must not modify it.
func (m *Machine) Servers(group string) map[string]*wire.Announcement { return m.servers[group] }

// History returns the accepted publishes, oldest first.
func (m *Machine) History() []*wire.HistoryEntry { return slices.Clone(m.history) }

// Apply applies an encoded command and returns the outcome of a publish, or nil for another
// command.
func (m *Machine) Apply(data []byte) (*wire.PublishResult, error) {
	command, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if p := command.GetPrimary(); p != nil {
		m.applyPrimary(p)
	}
	if o := command.GetOwners(); o != nil {
		m.owners[o.GetGroup()] = o
		m.touch(o.GetGroup())
	}
	if a := command.GetServer(); a != nil {
		m.applyServer(a)
	}
	if p := command.GetPublish(); p != nil {
		return m.applyPublish(p), nil
	}
	return nil, nil
}

// applyPrimary records a primary unless one of a later term is recorded.
func (m *Machine) applyPrimary(p *wire.Primary) {
	if p.GetTerm() >= m.primaries[p.GetGroup()].GetTerm() {
		m.primaries[p.GetGroup()] = p
		m.touch(p.GetGroup())
	}
}

// applyNumbered accepts a publish with the highest number so far; any other is acknowledged without
// effect, since that number or a higher one has been accepted before.
func (m *Machine) applyNumbered(p *wire.PublishRequest) *wire.PublishResult {
	result := &wire.PublishResult{Id: p.GetId(), Accepted: true, Version: m.version}
	if p.GetNumber() > m.publishNumber {
		m.publishNumber = p.GetNumber()
		m.accept(p, result)
	}
	return result
}

func (m *Machine) applyServer(a *wire.Announcement) {
	m.touch(a.GetGroup())
	servers := m.servers[a.GetGroup()]
	if a.GetGone() {
		delete(servers, a.GetSlot())
		return
	}
	if servers == nil {
		servers = map[string]*wire.Announcement{}
		m.servers[a.GetGroup()] = servers
	}
	servers[a.GetSlot()] = a
}

func (m *Machine) applyPublish(p *wire.PublishRequest) *wire.PublishResult {
	if p.GetNumber() > 0 {
		return m.applyNumbered(p)
	}
	if earlier := m.Result(p.GetId()); earlier != nil {
		return earlier
	}
	result := &wire.PublishResult{Id: p.GetId(), Version: m.version}
	if p.GetBaseVersion() != m.version {
		winner := m.acceptedPublish(p.GetBaseVersion() + 1)
		result.WinnerId = winner.GetId()
		result.WinnerAuthor = winner.GetAuthor()
		result.Reason = fmt.Sprintf("the publish builds on version %d, but version %d is in force", p.GetBaseVersion(), m.version)
	} else {
		m.accept(p, result)
	}
	m.publishResults = append(m.publishResults, result)
	if len(m.publishResults) > maxPublishResults {
		m.publishResults = m.publishResults[1:]
	}
	return result
}

// Result returns the recorded outcome of a publish, or nil.
func (m *Machine) Result(id string) *wire.PublishResult {
	for _, r := range m.publishResults {
		if r.GetId() == id {
			return r
		}
	}
	return nil
}

func (m *Machine) acceptedPublish(version uint64) *wire.HistoryEntry {
	for _, h := range m.history {
		if h.GetVersion() == version {
			return h
		}
	}
	return nil
}

func (m *Machine) accept(p *wire.PublishRequest, result *wire.PublishResult) {
	m.version++
	m.deltas = nil
	m.publishedDocument = p.GetDocument()
	changed := m.replaceObjects(p.GetObjects())
	result.Accepted = true
	result.Version = m.version
	m.history = append(m.history, &wire.HistoryEntry{
		Version: m.version, Id: p.GetId(), Author: p.GetAuthor(), Changed: changed,
	})
	if len(m.history) > maxHistoryEntries {
		m.history = m.history[1:]
	}
	m.dropTombstones()
}

// replaceObjects makes the live objects equal to published and returns the number of changes.
func (m *Machine) replaceObjects(published []*wire.Object) uint32 {
	changed := uint32(0)
	kept := map[config.Key]bool{}
	for _, o := range published {
		key := config.Key{Kind: o.GetKind(), Name: o.GetName()}
		kept[key] = true
		old := m.objects[key]
		if old != nil && !old.GetDeleted() && string(old.GetBody()) == string(o.GetBody()) {
			continue
		}
		changed++
		m.objects[key] = &wire.Object{Kind: key.Kind, Name: key.Name, Body: o.GetBody(), Version: m.version}
	}
	for key, old := range m.objects {
		if !kept[key] && !old.GetDeleted() {
			changed++
			m.objects[key] = &wire.Object{Kind: key.Kind, Name: key.Name, Deleted: true, Version: m.version}
		}
	}
	return changed
}

func (m *Machine) dropTombstones() {
	var tombstones []*wire.Object
	for _, o := range m.objects {
		if o.GetDeleted() {
			tombstones = append(tombstones, o)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	sortObjects(tombstones)
	slices.SortStableFunc(tombstones, func(a, b *wire.Object) int { return cmp.Compare(a.GetVersion(), b.GetVersion()) })
	for _, o := range tombstones[:len(tombstones)-maxTombstones] {
		delete(m.objects, config.Key{Kind: o.GetKind(), Name: o.GetName()})
		m.oldestDeltaVersion = max(m.oldestDeltaVersion, o.GetVersion())
	}
}

// Objects returns the live objects sorted by kind and name.
func (m *Machine) Objects() []*wire.Object {
	var live []*wire.Object
	for _, o := range m.objects {
		if !o.GetDeleted() {
			live = append(live, o)
		}
	}
	sortObjects(live)
	return live
}

// Snapshot returns the encoded state; equal states have equal encodings.
func (m *Machine) Snapshot() []byte {
	s := &wire.ControlState{Version: m.version, Results: m.publishResults, History: m.history, OldestDelta: m.oldestDeltaVersion, Number: m.publishNumber, Document: m.publishedDocument}
	s.Objects = slices.Collect(maps.Values(m.objects))
	sortObjects(s.Objects)
	for _, group := range slices.Sorted(maps.Keys(m.primaries)) {
		s.Primaries = append(s.Primaries, m.primaries[group])
	}
	for _, group := range slices.Sorted(maps.Keys(m.owners)) {
		s.Owners = append(s.Owners, m.owners[group])
	}
	for _, group := range slices.Sorted(maps.Keys(m.servers)) {
		for _, slot := range slices.Sorted(maps.Keys(m.servers[group])) {
			s.Servers = append(s.Servers, m.servers[group][slot])
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("state: encode snapshot: %v", err))
	}
	return data
}

// Restore replaces the state with a snapshot.
func (m *Machine) Restore(data []byte) error {
	s := &wire.ControlState{}
	if err := proto.Unmarshal(data, s); err != nil {
		return fmt.Errorf("decode snapshot of the control state: %w", err)
	}
	groupRevision, revisions := m.groupRevision+1, m.revisions
	*m = *New()
	m.groupRevision = groupRevision
	for group := range revisions {
		m.touch(group) // it may have lost what was recorded
	}
	m.version = s.GetVersion()
	m.publishResults = s.GetResults()
	m.history = s.GetHistory()
	m.oldestDeltaVersion = s.GetOldestDelta()
	m.publishNumber = s.GetNumber()
	m.publishedDocument = s.GetDocument()
	for _, o := range s.GetObjects() {
		m.objects[config.Key{Kind: o.GetKind(), Name: o.GetName()}] = o
	}
	for _, p := range s.GetPrimaries() {
		m.primaries[p.GetGroup()] = p
		m.touch(p.GetGroup())
	}
	for _, o := range s.GetOwners() {
		m.owners[o.GetGroup()] = o
		m.touch(o.GetGroup())
	}
	for _, a := range s.GetServers() {
		m.applyServer(a)
	}
	return nil
}

func sortObjects(objects []*wire.Object) {
	slices.SortFunc(objects, func(a, b *wire.Object) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
	})
}
