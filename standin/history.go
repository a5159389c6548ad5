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
	term   uint64
	end    uint64
	writes []write
	at     time.Time
}

// history is the durable data of one server: its log, and the part of it that is replayed.
type history struct {
	mu          sync.Mutex
	changed     chan struct{}
	incarnation string
	term        uint64
	primary     bool
	termStart   uint64
	log         []record
	replayed    int
	rows        map[string]string
}

func newHistory() *history {
	id := make([]byte, 6)
	_, _ = rand.Read(id)
	return &history{
		incarnation: hex.EncodeToString(id),
		changed:     make(chan struct{}),
		rows:        map[string]string{},
	}
}

// notify wakes whoever waits for the log to grow; mu is held.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *history) end() (term, offset uint64) {
	if len(h.log) == 0 {
		return 0, 0
	}
	last := h.log[len(h.log)-1]
	return last.term, last.end
}

func (h *history) replayEnd() (term, offset uint64) {
	if h.replayed == 0 {
		return 0, 0
	}
	last := h.log[h.replayed-1]
	return last.term, last.end
}

// promote makes the server lead a term, if its data is that of the given incarnation.
func (h *history) promote(term uint64, incarnation string) bool {
	return h.incarnation == incarnation && h.lead(term)
}

// lead makes the server the primary of a term; it is idempotent and refuses earlier terms.
func (h *history) lead(term uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.term {
		return false
	}
	if h.primary && h.term == term {
		return true
	}
	h.replayTo(len(h.log))
	h.term = term
	h.primary = true
	h.append(record{term: term})
	_, h.termStart = h.end()
	return true
}

// append adds a record at the end and replays it; mu is held.
func (h *history) append(r record) {
	_, offset := h.end()
	size := uint64(recordOverhead)
	for _, w := range r.writes {
		size += uint64(len(w.id) + len(w.body))
	}
	r.end = offset + size
	r.at = time.Now()
	h.log = append(h.log, r)
	h.replayTo(len(h.log))
	h.notify()
}

func (h *history) replayTo(count int) {
	for ; h.replayed < count; h.replayed++ {
		for _, w := range h.log[h.replayed].writes {
			h.rows[w.id] = w.body
		}
	}
}

// rewindTo drops records that upstream does not have and reports whether there were any.
func (h *history) rewindTo(upstream []record) bool {
	same := 0
	for same < len(h.log) && same < len(upstream) && h.log[same].end == upstream[same].end && h.log[same].term == upstream[same].term {
		same++
	}
	if same == len(h.log) {
		return false
	}
	h.log = append([]record(nil), h.log[:same]...)
	h.replayed = 0
	h.rows = map[string]string{}
	h.replayTo(same)
	return true
}

func (h *history) snapshotLog() (log []record, changed chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log[:len(h.log):len(h.log)], h.changed
}
