package directory

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

const (
	// formerOwnerLinger is how long a VM that no longer owns any group stays listed, so that open
	// transactions can end there.
	formerOwnerLinger = 30 * time.Second
	// maxRemoved is the number of removed entries whose revisions are kept for incremental updates.
	maxRemoved = 4096
	// maxCopyAge is how long a packed copy of the directory is used again; a VM that gets an old one
	// has the changes since with its next renewal.
	maxCopyAge = 500 * time.Millisecond
	// minCopyAge is the shortest time between two packed copies.
	minCopyAge = 100 * time.Millisecond
	// maxChangesBytes is the size of changes above which a packed copy is sent instead. With 200 groups
	// and 300 VMs a copy takes 8.4 KB and the entries 54 KB, which are 0.3 s of an entry VM's link of
	// 1.4 Mbit/s; a renewal times out after 0.4 s.
	maxChangesBytes = 8 << 10
	// entryOverhead is what an entry takes beside its content.
	entryOverhead = 8
)

// Publisher is the control leader's directory in one control term; it is not safe for concurrent use.
// It lists only the VMs that own groups, so that one that owns none costs other VMs nothing when it
// comes or goes.
type Publisher struct {
	// Epoch is the control term.
	Epoch uint64
	// Pace limits the parts and copies that are sent.
	Pace Pace

	contents Contents
	// revisions holds the revision of each entry's last change, removed entries included.
	revisions map[key]uint64
	revision  uint64
	// oldest is the oldest revision from which an incremental update is possible.
	oldest  uint64
	removed int
	// members are all entry VMs that are up; owned counts the groups that each owns or may still hold
	// a lease on, and unlisted is when a listed VM that owns none is removed.
	members  map[string]*wire.Member
	owned    map[string]int
	unlisted map[string]time.Time
	former   map[string][]string
	// packed is a copy of the directory at packedRevision.
	packed         []byte
	packedRevision uint64
	packedAt       time.Time
}

func (p *Publisher) prepare() {
	if p.revisions == nil {
		p.revision = 1
		p.revisions = map[key]uint64{}
		p.members = map[string]*wire.Member{}
		p.owned = map[string]int{}
		p.unlisted = map[string]time.Time{}
		p.former = map[string][]string{}
	}
}

// Owners returns how many VMs own groups.
func (p *Publisher) Owners() int { return len(p.owned) }

// Group returns a group, or nil if it does not exist.
func (p *Publisher) Group(name string) *wire.GroupState { return p.contents.Group(name) }

// PutMember stores an entry VM that is up.
func (p *Publisher) PutMember(m *wire.Member) {
	p.prepare()
	p.members[m.GetVm()] = m
	if _, lingers := p.unlisted[m.GetVm()]; lingers || p.owned[m.GetVm()] > 0 {
		p.list(m)
	}
}

// DropMember removes an entry VM that is down.
func (p *Publisher) DropMember(vm string) {
	p.prepare()
	delete(p.members, vm)
	delete(p.unlisted, vm)
	p.unlist(vm)
}

// PutGroup stores a group; former lists VMs that own it no more and may still hold a lease on it.
func (p *Publisher) PutGroup(now time.Time, g *wire.GroupState, former []string) {
	p.prepare()
	name := g.GetGroup()
	before := slices.Concat(p.contents.Group(name).GetOwners(), p.former[name])
	p.former[name] = former
	for _, vm := range slices.Concat(g.GetOwners(), former) {
		p.owned[vm]++
		delete(p.unlisted, vm)
		if m := p.members[vm]; m != nil {
			p.list(m)
		}
	}
	p.release(now, before)
	if p.contents.putGroup(g) {
		p.touch(key{true, name})
	}
}

// DropGroup removes a group.
func (p *Publisher) DropGroup(now time.Time, name string) {
	p.prepare()
	p.release(now, slices.Concat(p.contents.Group(name).GetOwners(), p.former[name]))
	delete(p.former, name)
	if p.contents.putGroup(&wire.GroupState{Group: name, Gone: true}) {
		p.touch(key{true, name})
		p.forgetRemoved()
	}
}

// release ends the ownership of a group for each VM.
func (p *Publisher) release(now time.Time, vms []string) {
	for _, vm := range vms {
		p.owned[vm]--
		if p.owned[vm] > 0 {
			continue
		}
		delete(p.owned, vm)
		if p.contents.Member(vm) != nil {
			p.unlisted[vm] = now.Add(formerOwnerLinger)
		}
	}
}

// Tick removes the VMs that have owned nothing for a while.
func (p *Publisher) Tick(now time.Time) {
	for vm, due := range p.unlisted {
		if !now.Before(due) {
			delete(p.unlisted, vm)
			p.unlist(vm)
		}
	}
}

func (p *Publisher) list(m *wire.Member) {
	if p.contents.putMember(m) {
		p.touch(key{false, m.GetVm()})
	}
}

func (p *Publisher) unlist(vm string) {
	if p.contents.putMember(&wire.Member{Vm: vm, Gone: true}) {
		p.touch(key{false, vm})
		p.forgetRemoved()
	}
}

func (p *Publisher) touch(k key) {
	p.revision++
	p.revisions[k] = p.revision
}

// forgetRemoved counts a removal and deletes the revisions of all removed entries once there are
// maxRemoved; VMs with an older revision then get what differs.
func (p *Publisher) forgetRemoved() {
	p.removed++
	if p.removed < maxRemoved {
		return
	}
	for k := range p.revisions {
		if p.contents.hashes[k] == 0 {
			delete(p.revisions, k)
		}
	}
	p.removed = 0
	p.oldest = p.revision
}

// Answer adds to the response what the requesting VM lacks of the directory. If that is not all, it
// returns how long the VM should wait before it asks again.
func (p *Publisher) Answer(now time.Time, r *wire.RenewRequest, response *wire.RenewResponse) time.Duration {
	p.prepare()
	from := r.GetDirectoryRevision()
	switch {
	case r.GetDirectoryEpoch() == p.Epoch && from >= p.oldest:
		return p.addChanges(now, r, response)
	case !r.GetTakesParts():
		p.addWhole(response)
		return 0
	case len(r.GetDirectoryDigests()) == Parts:
		return p.addParts(now, r.GetDirectoryDigests(), response)
	case r.GetDirectoryEpoch() == 0 || r.GetDirectoryEpoch() == p.Epoch:
		return p.addCopy(now, response)
	}
	// The VM learns of the term with this answer and sends its digests with the next request.
	return minWait
}

// addChanges adds the entries that changed after a revision. Many of them are sent as a packed copy of the
// whole, which is smaller and made once for all VMs: while hundreds of groups start, each VM lacks most of
// the directory again with each renewal.
func (p *Publisher) addChanges(now time.Time, r *wire.RenewRequest, response *wire.RenewResponse) time.Duration {
	if from := r.GetDirectoryRevision(); from < p.revision {
		size := p.changesSize(from)
		if size > maxChangesBytes && r.GetTakesParts() {
			return p.addNewerCopy(now, from, response)
		}
		if wait := p.Pace.take(now, size); wait > 0 {
			return wait
		}
		for k, revision := range p.revisions {
			if revision > from {
				p.addEntry(k, response)
			}
		}
	}
	response.DirectoryEpoch, response.DirectoryRevision = p.Epoch, p.revision
	return 0
}

// addNewerCopy adds a packed copy that is newer than a revision.
func (p *Publisher) addNewerCopy(now time.Time, from uint64, response *wire.RenewResponse) time.Duration {
	if p.recentCopy(now) && p.packedRevision <= from {
		if now.Sub(p.packedAt) < minCopyAge {
			return minWait
		}
		p.packed = nil
	}
	return p.addCopy(now, response)
}

// changesSize returns about how many bytes the changes after a revision take.
func (p *Publisher) changesSize(from uint64) int {
	size := 0
	for k, revision := range p.revisions {
		if revision > from {
			size += p.contents.sizes[k] + entryOverhead
		}
	}
	return size
}

// addParts adds as many of the parts that differ as the pace allows.
func (p *Publisher) addParts(now time.Time, digests []uint64, response *wire.RenewResponse) time.Duration {
	for part := range Parts {
		if digests[part] == p.contents.digests[part] {
			continue
		}
		addition := &wire.RenewResponse{}
		for k := range p.contents.hashes {
			if k.part() == part {
				p.addEntry(k, addition)
			}
		}
		if wait := p.Pace.take(now, proto.Size(addition)); wait > 0 {
			return wait
		}
		response.DirectoryParts = append(response.DirectoryParts, uint32(part))
		response.Members = append(response.Members, addition.Members...)
		response.Groups = append(response.Groups, addition.Groups...)
	}
	response.DirectoryEpoch, response.DirectoryRevision = p.Epoch, p.revision
	return 0
}

// addCopy adds a packed copy of the whole.
func (p *Publisher) addCopy(now time.Time, response *wire.RenewResponse) time.Duration {
	p.pack(now)
	if wait := p.Pace.take(now, len(p.packed)); wait > 0 {
		return wait
	}
	response.DirectoryPacked = p.packed
	response.DirectoryEpoch, response.DirectoryRevision = p.Epoch, p.packedRevision
	if p.packedRevision < p.revision {
		return minWait
	}
	return 0
}

// recentCopy reports whether the packed copy is recent and changes since can be sent incrementally.
func (p *Publisher) recentCopy(now time.Time) bool {
	return p.packed != nil && now.Sub(p.packedAt) < maxCopyAge && p.packedRevision >= p.oldest
}

// pack renews the packed copy unless it is recent.
func (p *Publisher) pack(now time.Time) {
	if p.recentCopy(now) || p.packed != nil && p.packedRevision == p.revision {
		return
	}
	whole := &wire.Directory{Members: p.contents.Members()}
	// In this order, entries that resemble each other are near each other, and pack to an eighth less with 200 groups.
	for _, name := range slices.Sorted(maps.Keys(p.contents.groups)) {
		whole.Groups = append(whole.Groups, p.contents.groups[name])
	}
	data, err := packed.Marshal(whole)
	if err != nil {
		panic("directory: decoded messages do not encode: " + err.Error())
	}
	p.packed, p.packedRevision, p.packedAt = data, p.revision, now
}

// addWhole adds everything for a VM of an earlier version.
func (p *Publisher) addWhole(response *wire.RenewResponse) {
	response.DirectoryWhole = true
	response.DirectoryEpoch, response.DirectoryRevision = p.Epoch, p.revision
	for k := range p.contents.hashes {
		p.addEntry(k, response)
	}
}

// addEntry adds an entry as it is now, or as removed.
func (p *Publisher) addEntry(k key, response *wire.RenewResponse) {
	switch {
	case k.group && p.contents.Group(k.name) != nil:
		response.Groups = append(response.Groups, p.contents.Group(k.name))
	case k.group:
		response.Groups = append(response.Groups, &wire.GroupState{Group: k.name, Gone: true})
	case p.contents.Member(k.name) != nil:
		response.Members = append(response.Members, p.contents.Member(k.name))
	default:
		response.Members = append(response.Members, &wire.Member{Vm: k.name, Gone: true})
	}
}
