package standin

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"
)

const recordOverhead = 32

type write struct{ id, body string }

// record is one committed transaction, or the start of a term when it has no writes.
type record struct {
	term       uint64
	endOffset  uint64
	writes     []write
	appendedAt time.Time
}

// storage is the durable state of one server: its log and the rows of the replayed part.
type storage struct {
	mu              sync.Mutex
	logChanged      chan struct{}
	incarnation     string
	term            uint64
	primary         bool
	termStart       uint64
	log             []record
	replayedRecords int
	rows            map[string]string
}

func newStorage() *storage {
	id := make([]byte, 6)
	_, _ = rand.Read(id)
	return &storage{
		incarnation: hex.EncodeToString(id),
		logChanged:  make(chan struct{}),
		rows:        map[string]string{},
	}
}

// notify wakes the goroutines that wait for the log to grow; mu is held.
func (st *storage) notify() {
	close(st.logChanged)
	st.logChanged = make(chan struct{})
}

func (st *storage) logEnd() (term, offset uint64) {
	if len(st.log) == 0 {
		return 0, 0
	}
	last := st.log[len(st.log)-1]
	return last.term, last.endOffset
}

func (st *storage) replayEnd() (term, offset uint64) {
	if st.replayedRecords == 0 {
		return 0, 0
	}
	last := st.log[st.replayedRecords-1]
	return last.term, last.endOffset
}

// promoteIncarnation makes the server the primary of a term if its incarnation matches.
func (st *storage) promoteIncarnation(term uint64, incarnation string) bool {
	return st.incarnation == incarnation && st.becomePrimary(term)
}

// becomePrimary makes the server the primary of a term; it is idempotent and rejects earlier terms.
func (st *storage) becomePrimary(term uint64) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if term < st.term {
		return false
	}
	if st.primary && st.term == term {
		return true
	}
	st.replayTo(len(st.log))
	st.term = term
	st.primary = true
	st.appendRecord(record{term: term})
	_, st.termStart = st.logEnd()
	return true
}

// appendRecord appends a record to the log and replays it; mu is held.
func (st *storage) appendRecord(r record) {
	_, offset := st.logEnd()
	size := uint64(recordOverhead)
	for _, w := range r.writes {
		size += uint64(len(w.id) + len(w.body))
	}
	r.endOffset = offset + size
	r.appendedAt = time.Now()
	st.log = append(st.log, r)
	st.replayTo(len(st.log))
	st.notify()
}

func (st *storage) replayTo(count int) {
	for ; st.replayedRecords < count; st.replayedRecords++ {
		for _, w := range st.log[st.replayedRecords].writes {
			st.rows[w.id] = w.body
		}
	}
}

// truncateDivergence drops the records after the common prefix with upstream and reports whether
// there were any; mu is held.
func (st *storage) truncateDivergence(upstream []record) bool {
	common := 0
	for common < len(st.log) && common < len(upstream) && st.log[common].endOffset == upstream[common].endOffset && st.log[common].term == upstream[common].term {
		common++
	}
	if common == len(st.log) {
		return false
	}
	st.log = append([]record(nil), st.log[:common]...)
	st.replayedRecords = 0
	st.rows = map[string]string{}
	st.replayTo(common)
	return true
}

func (st *storage) snapshotLog() (log []record, changed chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.log[:len(st.log):len(st.log)], st.logChanged
}
