package raft

import "trefoilcourse/wire"

// PersistentState is what a control VM read back from its data folder.
type PersistentState struct {
	// HardState is the last synced term and vote.
	HardState *wire.HardState
	// Snapshot is the last synced snapshot; nil means none.
	Snapshot *wire.LogSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*wire.LogEntry
}

// Effects is what the driving program must do, in the order of the fields.
type Effects struct {
	// HardState is to be persisted when it is not nil.
	HardState *wire.HardState
	// Snapshot is to be persisted, dropping the whole log, when it is not nil.
	Snapshot *wire.LogSnapshot
	// TruncateFrom is the first index to delete before Entries are appended; 0 deletes nothing.
	TruncateFrom uint64
	// Entries are to be appended and synced.
	Entries []*wire.LogEntry
	// Messages are to be sent once the above is synced.
	Messages []*wire.AgreementMessage
	// InstallSnapshot is a snapshot whose state replaces that of the state machine; nil means none.
	InstallSnapshot *wire.LogSnapshot
	// CommittedEntries are entries to apply, in order.
	CommittedEntries []*wire.LogEntry
}

// MustSync reports whether anything has to reach the disk before the messages are sent.
func (e *Effects) MustSync() bool {
	return e.HardState != nil || e.Snapshot != nil || e.TruncateFrom > 0 || len(e.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return !e.MustSync() && len(e.Messages) == 0 && e.InstallSnapshot == nil && len(e.CommittedEntries) == 0
}
