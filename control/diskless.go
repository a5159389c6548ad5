package control

import (
	"errors"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

// errDiskless means that a VM without a data folder was asked to store state.
var errDiskless = errors.New("this control VM has no data folder")

// disklessStore is the Store of a control VM without a data folder, which never takes part in agreement.
type disklessStore struct{}

// Incarnation implements Store; without data there is no incarnation.
func (disklessStore) Incarnation() string { return "" }

// Load implements Store.
func (disklessStore) Load() (raft.PersistentState, error) { return raft.PersistentState{}, nil }

// Save implements Store.
func (disklessStore) Save(*raft.Effects) error { return errDiskless }

// Bootstrap implements Store.
func (disklessStore) Bootstrap(*wire.Membership) error { return errDiskless }

// Close implements Store.
func (disklessStore) Close() error { return nil }
