package raft

import "errors"

// ErrNotLeader is returned by a node that is not the leader of its term.
var ErrNotLeader = errors.New("this control VM is not the leader")

// ErrChangeInProgress is returned while an earlier membership change, or the leader's first entry
// of its term, is not committed yet.
var ErrChangeInProgress = errors.New("an earlier membership change is not committed yet")
