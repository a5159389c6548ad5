package leader

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

func unknownGroupError(name string) error {
	return fmt.Errorf("database-group %q does not exist in the configuration in force", name)
}

const maxGone = 4096

// directory holds what entry VMs need to know of each other and of the groups, by revision.
type directory struct {
	epoch    uint64
	revision uint64
	// oldest is the revision since which every change is known.
	oldest  uint64
	members map[string]*revised[*wire.Member]
	groups  map[string]*revised[*wire.GroupState]
	gone    int
}

type revised[T any] struct {
	value    T
	revision uint64
}

func newDirectory(epoch uint64) directory {
	return directory{
		epoch: epoch, revision: 1,
		members: map[string]*revised[*wire.Member]{},
		groups:  map[string]*revised[*wire.GroupState]{},
	}
}

func (d *directory) putMember(m *wire.Member) {
	old := d.members[m.GetVm()]
	if old != nil && proto.Equal(old.value, m) {
		return
	}
	d.revision++
	d.members[m.GetVm()] = &revised[*wire.Member]{m, d.revision}
}

func (d *directory) putGroup(g *wire.GroupState) {
	old := d.groups[g.GetGroup()]
	if old != nil && proto.Equal(old.value, g) {
		return
	}
	d.revision++
	d.groups[g.GetGroup()] = &revised[*wire.GroupState]{g, d.revision}
}

func (d *directory) dropMember(vm string) {
	d.putMember(&wire.Member{Vm: vm, Gone: true})
	d.countGone()
}

func (d *directory) dropGroup(name string) {
	d.putGroup(&wire.GroupState{Group: name, Gone: true})
	d.countGone()
}

// countGone forgets all that is gone once it is much; older holders then get the whole.
func (d *directory) countGone() {
	d.gone++
	if d.gone < maxGone {
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
	d.gone = 0
	d.oldest = d.revision
}

// since adds what the asking VM lacks to the response.
func (d *directory) since(r *wire.RenewRequest, response *wire.RenewResponse) {
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
