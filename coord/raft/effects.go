package raft

import "trefoilcourse/wire"

// PersistentState is the state that a control VM loads from its data folder at startup.
type PersistentState struct {
	// TermAndVote is the last synced term and vote.
	TermAndVote *wire.HardState
	// Snapshot is the last synced snapshot; nil means none.
	Snapshot *wire.LogSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*wire.LogEntry
}

// Effects lists what the driver must do, in the order of the fields.
type Effects struct {
	// TermAndVote must be persisted when it is not nil.
	TermAndVote *wire.HardState
	// Snapshot must be persisted in place of the whole log when it is not nil.
	Snapshot *wire.LogSnapshot
	// TruncateFrom is the first index to delete before Entries are appended; 0 deletes nothing.
	TruncateFrom uint64
	// Entries must be appended and synced.
	Entries []*wire.LogEntry
	// Messages must be sent after everything above is synced.
	Messages []*wire.AgreementMessage
	// InstallSnapshot is a snapshot whose state replaces that of the state machine; nil means none.
	InstallSnapshot *wire.LogSnapshot
	// CommittedEntries must be applied in order.
	CommittedEntries []*wire.LogEntry
}

// MustSync reports whether anything must be synced to disk before the messages are sent.
func (e *Effects) MustSync() bool {
	return e.TermAndVote != nil || e.Snapshot != nil || e.TruncateFrom > 0 || len(e.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return !e.MustSync() && len(e.Messages) == 0 && e.InstallSnapshot == nil && len(e.CommittedEntries) == 0
}
