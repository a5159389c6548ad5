package state

import (
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

// maxLacking bounds what is kept for holders of earlier versions: most hold one of the last few.
const maxLacking = 32

// lack is what a holder of some version lacks.
type lack struct {
	objects []*wire.Object
	whole   bool
	bytes   int
	packed  []byte
}

// ChangesSince returns what a holder of version lacks: the changes, or with whole set all live
// objects when the changes are not known or not fewer. The objects must not be changed.
func (m *Machine) ChangesSince(version uint64) (objects []*wire.Object, whole bool) {
	l := m.lack(version)
	return l.objects, l.whole
}

// ChangesSize returns the size of what Since returns, in bytes on the wire.
func (m *Machine) ChangesSize(version uint64) int { return m.lack(version).bytes }

// Changes returns what a holder of version lacks in one packed message, which many holders of
// one version can be given at the cost of one.
func (m *Machine) Changes(version uint64) (*wire.ChangesResponse, error) {
	l := m.lack(version)
	if l.packed == nil {
		data, err := packed.Marshal(&wire.Objects{Objects: l.objects})
		if err != nil {
			return nil, err
		}
		l.packed = data
	}
	return &wire.ChangesResponse{Version: m.version, Whole: l.whole, Packed: l.packed}, nil
}

func (m *Machine) lack(version uint64) *lack {
	if version == m.version {
		return &lack{}
	}
	if l := m.lacking[version]; l != nil {
		return l
	}
	l := &lack{}
	l.objects, l.whole = m.since(version)
	for _, o := range l.objects {
		l.bytes += proto.Size(o)
	}
	if m.lacking == nil || len(m.lacking) >= maxLacking {
		m.lacking = map[uint64]*lack{}
	}
	m.lacking[version] = l
	return l
}

func (m *Machine) since(version uint64) (objects []*wire.Object, whole bool) {
	if version > m.version || version < m.oldestDelta || version == 0 {
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
