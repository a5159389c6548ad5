package raft

import "trefoilcourse/wire"

// Stored is what a control VM read back from its data folder.
type Stored struct {
	// Hard is the last synced term and vote.
	Hard *wire.HardState
	// Snapshot is the last synced snapshot; nil means none.
	Snapshot *wire.LogSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*wire.LogEntry
}

// Effects is what the driving program must do, in the order of the fields.
type Effects struct {
	// Hard is to be persisted when it is not nil.
	Hard *wire.HardState
	// Snapshot is to be persisted, dropping the whole log, when it is not nil.
	Snapshot *wire.LogSnapshot
	// TruncateFrom is the first index to delete before Entries are appended; 0 deletes nothing.
	TruncateFrom uint64
	// Entries are to be appended and synced.
	Entries []*wire.LogEntry
	// Messages are to be sent once the above is synced.
	Messages []*wire.AgreementMessage
	// Install is a snapshot whose state replaces that of the state machine; nil means none.
	Install *wire.LogSnapshot
	// Committed are entries to apply, in order.
	Committed []*wire.LogEntry
}

// MustSync reports whether anything has to reach the disk before the messages are sent.
func (e *Effects) MustSync() bool {
	return e.Hard != nil || e.Snapshot != nil || e.TruncateFrom > 0 || len(e.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return !e.MustSync() && len(e.Messages) == 0 && e.Install == nil && len(e.Committed) == 0
}
