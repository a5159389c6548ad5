package control

import (
	"errors"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

// errNowhere means that a VM without a data folder was asked to keep something.
var errNowhere = errors.New("this control VM has no data folder")

// nowhere is the Store of a control VM that keeps nothing, and so never takes part in agreement.
type nowhere struct{}

// Incarnation implements Store; without data there is no life of it.
func (nowhere) Incarnation() string { return "" }

// Load implements Store.
func (nowhere) Load() (raft.PersistentState, error) { return raft.PersistentState{}, nil }

// Save implements Store.
func (nowhere) Save(*raft.Effects) error { return errNowhere }

// Bootstrap implements Store.
func (nowhere) Bootstrap(*wire.Membership) error { return errNowhere }

// Close implements Store.
func (nowhere) Close() error { return nil }
