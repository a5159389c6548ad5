package leader

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

func unknownGroupError(name string) error {
	return fmt.Errorf("database-group %q does not exist in the configuration in force", name)
}

// maxTombstones is the number of removed members and groups that are kept for incremental updates.
const maxTombstones = 4096

// directory holds the members and groups that entry VMs need to know, each with the revision of its
// last change.
type directory struct {
	epoch    uint64
	revision uint64
	// oldest is the oldest revision from which an incremental update is possible.
	oldest     uint64
	members    map[string]*versioned[*wire.Member]
	groups     map[string]*versioned[*wire.GroupState]
	tombstones int
}

type versioned[T any] struct {
	value    T
	revision uint64
}

func newDirectory(epoch uint64) directory {
	return directory{
		epoch: epoch, revision: 1,
		members: map[string]*versioned[*wire.Member]{},
		groups:  map[string]*versioned[*wire.GroupState]{},
	}
}

func (d *directory) putMember(m *wire.Member) {
	old := d.members[m.GetVm()]
	if old != nil && proto.Equal(old.value, m) {
		return
	}
	d.revision++
	d.members[m.GetVm()] = &versioned[*wire.Member]{m, d.revision}
}

func (d *directory) putGroup(g *wire.GroupState) {
	old := d.groups[g.GetGroup()]
	if old != nil && proto.Equal(old.value, g) {
		return
	}
	d.revision++
	d.groups[g.GetGroup()] = &versioned[*wire.GroupState]{g, d.revision}
}

func (d *directory) dropMember(vm string) {
	d.putMember(&wire.Member{Vm: vm, Gone: true})
	d.addTombstone()
}

func (d *directory) dropGroup(name string) {
	d.putGroup(&wire.GroupState{Group: name, Gone: true})
	d.addTombstone()
}

// addTombstone counts a removal and deletes all tombstones once there are maxTombstones; VMs with an
// older revision then get the whole directory.
func (d *directory) addTombstone() {
	d.tombstones++
	if d.tombstones < maxTombstones {
		return
	}
	for vm, m := range d.members {
		if m.value.GetGone() {
			delete(d.members, vm)
		}
	}
	for name, g := range d.groups {
		if g.value.GetGone() {
			delete(d.groups, name)
		}
	}
	d.tombstones = 0
	d.oldest = d.revision
}

// addChanges adds the changes since the revision in the request to the response, or the whole
// directory if they are not known.
func (d *directory) addChanges(r *wire.RenewRequest, response *wire.RenewResponse) {
	from := r.GetDirectoryRevision()
	if r.GetDirectoryEpoch() != d.epoch || from < d.oldest {
		from = 0
		response.DirectoryWhole = true
	}
	response.DirectoryEpoch = d.epoch
	response.DirectoryRevision = d.revision
	if from == d.revision {
		return
	}
	for _, m := range d.members {
		if m.revision > from && (from > 0 || !m.value.GetGone()) {
			response.Members = append(response.Members, m.value)
		}
	}
	for _, g := range d.groups {
		if g.revision > from && (from > 0 || !g.value.GetGone()) {
			response.Groups = append(response.Groups, g.value)
		}
	}
}
