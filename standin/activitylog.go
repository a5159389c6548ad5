package standin

import (
	"sync"
	"time"
)

// Commit is a transaction committed by a primary.
type Commit struct {
	Slot string
	Term uint64
	// Writes lists the rows written, in order.
	Writes      []Write
	CommittedAt time.Time
}

// Write is one written row.
type Write struct{ ID, Body string }

// ActivityLog records the statements and connections of a group; it is safe for concurrent use.
type ActivityLog struct {
	mu              sync.Mutex
	commits         []Commit
	readCounts      map[string]int
	lastStatement   map[string]time.Time
	connections     int
	peakConnections int
}

// Commits returns all commits in commit order.
func (l *ActivityLog) Commits() []Commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Commit(nil), l.commits...)
}

// Reads returns the number of reads that a slot has served.
func (l *ActivityLog) Reads(slot string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readCounts[slot]
}

// LastStatementTime returns when a slot last started a caller's statement.
func (l *ActivityLog) LastStatementTime(slot string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastStatement[slot]
}

// Connections returns the group's current and peak number of connections.
func (l *ActivityLog) Connections() (now, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections, l.peakConnections
}

func (l *ActivityLog) recordCommit(c Commit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commits = append(l.commits, c)
}

func (l *ActivityLog) recordStatement(slot string, read bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readCounts == nil {
		l.readCounts = map[string]int{}
		l.lastStatement = map[string]time.Time{}
	}
	l.lastStatement[slot] = time.Now()
	if read {
		l.readCounts[slot]++
	}
}

func (l *ActivityLog) addConnections(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections += change
	l.peakConnections = max(l.peakConnections, l.connections)
}
