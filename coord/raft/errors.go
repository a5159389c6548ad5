package raft

import "errors"

// ErrNotLeader means that the node does not lead in its term.
var ErrNotLeader = errors.New("this control VM is not the leader")

// ErrChangeInProgress means that an earlier change of membership has not been committed.
var ErrChangeInProgress = errors.New("an earlier membership change is not committed yet")
