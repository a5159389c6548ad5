package raft

import "trefoilcourse/wire"

// entryLog holds the entries after the snapshot; their indexes are contiguous.
type entryLog struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []*wire.LogEntry
}

func (l *entryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the entry is compacted or absent.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].GetTerm(), true
}

// slice returns up to limit entries with indexes in [from, to].
func (l *entryLog) slice(from, to uint64, limit int) []*wire.LogEntry {
	to = min(to, l.lastIndex())
	if from <= l.snapshotIndex || from > to {
		return nil
	}
	part := l.entries[from-l.snapshotIndex-1 : to-l.snapshotIndex]
	if len(part) > limit {
		part = part[:limit]
	}
	return append([]*wire.LogEntry(nil), part...)
}

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.snapshotIndex-1]
	l.entries = append([]*wire.LogEntry(nil), kept...)
}

// compact removes entries up to and including index and takes index and its term as the snapshot's.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok {
		return
	}
	l.entries = append([]*wire.LogEntry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex = index
	l.snapshotTerm = term
}

// reset replaces the log with a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.snapshotIndex = index
	l.snapshotTerm = term
	l.entries = nil
}
