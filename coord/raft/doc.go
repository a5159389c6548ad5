// Package raft implements the replicated log of the control VMs as a deterministic state machine.
//
// It follows Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (2014), with pre-vote, check-quorum, snapshots, non-voting members and membership changes
// of one voter at a time from Ongaro's thesis (2014), chapters 4, 6 and 9.
//
// A Node has no clock, socket, goroutine or disk. Its driver passes it the time and one event,
// then takes the Effects and processes them in order: persist and sync, call MarkSynced, send
// the messages, apply the committed entries.
//
//	node := &raft.Node{Self: "c1/4f21", Seed: 1}
//	node.Restart(now, persistentState)
//	node.Step(now, message)
//	effects := node.TakeEffects()
//	store.Save(effects)
//	node.MarkSynced(&effects)
package raft
