package standin

import (
	"sync"
	"time"
)

// Commit is a transaction that a primary committed.
type Commit struct {
	Slot string
	Term uint64
	// Writes are the rows written, in order.
	Writes      []Write
	CommittedAt time.Time
}

// Write is one row written.
type Write struct{ ID, Body string }

// ActivityLog records what the servers of a group ran; it is safe for concurrent use.
type ActivityLog struct {
	mu          sync.Mutex
	commits     []Commit
	reads       map[string]int
	lastWork    map[string]time.Time
	connections int
	most        int
}

// Commits returns all commits in the order in which they happened.
func (l *ActivityLog) Commits() []Commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Commit(nil), l.commits...)
}

// Reads returns how many reads a slot has served.
func (l *ActivityLog) Reads(slot string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads[slot]
}

// LastStatementTime returns when a slot last ran a statement of a caller.
func (l *ActivityLog) LastStatementTime(slot string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastWork[slot]
}

// Connections returns how many connections the group has now and had at most.
func (l *ActivityLog) Connections() (now, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections, l.most
}

func (l *ActivityLog) committed(c Commit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits = append(l.commits, c)
}

func (l *ActivityLog) worked(slot string, read bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reads == nil {
		l.reads = map[string]int{}
		l.lastWork = map[string]time.Time{}
	}
	l.lastWork[slot] = time.Now()
	if read {
		l.reads[slot]++
	}
}

func (l *ActivityLog) connected(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections += change
	l.most = max(l.most, l.connections)
}
