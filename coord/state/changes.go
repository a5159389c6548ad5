package state

import (
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

// maxDeltas bounds the cached deltas; most entry VMs have one of the last few versions, so few deltas
// are in use.
const maxDeltas = 32

// delta holds the changes from an earlier version to the current one.
type delta struct {
	objects []*wire.Object
	whole   bool
	size    int
	packed  []byte
}

// ChangesSince returns the objects changed since version, or all live objects with whole set if the
// changes are not known or not fewer. Callers must not modify the objects.
func (m *Machine) ChangesSince(version uint64) (objects []*wire.Object, whole bool) {
	d := m.delta(version)
	return d.objects, d.whole
}

// ChangesSize returns the size of the objects from ChangesSince in bytes, as encoded on the wire.
func (m *Machine) ChangesSize(version uint64) int { return m.delta(version).size }

// Changes returns the objects from ChangesSince in one packed message, which is encoded only once
// for all entry VMs with the same version.
func (m *Machine) Changes(version uint64) (*wire.ChangesResponse, error) {
	d := m.delta(version)
	if d.packed == nil {
		data, err := packed.Marshal(&wire.Objects{Objects: d.objects})
		if err != nil {
			return nil, err
		}
		d.packed = data
	}
	return &wire.ChangesResponse{Version: m.version, Whole: d.whole, Packed: d.packed}, nil
}

func (m *Machine) delta(version uint64) *delta {
	if version == m.version {
		return &delta{}
	}
	if d := m.deltas[version]; d != nil {
		return d
	}
	d := &delta{}
	d.objects, d.whole = m.computeDelta(version)
	for _, o := range d.objects {
		d.size += proto.Size(o)
	}
	if m.deltas == nil || len(m.deltas) >= maxDeltas {
		m.deltas = map[uint64]*delta{}
	}
	m.deltas[version] = d
	return d
}

func (m *Machine) computeDelta(version uint64) (objects []*wire.Object, whole bool) {
	if version > m.version || version < m.oldestDeltaVersion || version == 0 {
		return m.Objects(), true
	}
	for _, o := range m.objects {
		if o.GetVersion() > version {
			objects = append(objects, o)
		}
	}
	if live := m.Objects(); len(objects) > len(live) {
		return live, true
	}
	sortObjects(objects)
	return objects, false
}
