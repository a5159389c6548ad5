package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// verdict is what a caller was told of a request.
type verdict int

const (
	acknowledged verdict = iota
	notRun
	unknown
	refusedByServer
)

// attempt is a write that a caller asked for.
type attempt struct {
	group   string
	id      string
	body    string
	verdict verdict
	code    string
	began   time.Time
	ended   time.Time
}

const (
	highestLatency = int64(time.Minute / time.Microsecond)
	precision      = 3
)

// record is what callers were told, for the judge.
type record struct {
	mu        sync.Mutex
	attempts  []attempt
	reads     *hdrhistogram.Histogram
	writes    *hdrhistogram.Histogram
	stale     []string
	wrong     []string
	doubled   []string
	cut       []string
	reverts   []string
	notRun    int
	unknown   int
	readCount int
	gaps      []time.Duration
	leaving   time.Duration
	inForce   time.Duration
	broken    []string
}

func newRecord() *record {
	return &record{
		reads:  hdrhistogram.New(1, highestLatency, precision),
		writes: hdrhistogram.New(1, highestLatency, precision),
	}
}

func (r *record) write(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
	switch a.verdict {
	case notRun:
		r.notRun++
	case unknown:
		r.unknown++
	case acknowledged:
		_ = r.writes.RecordValue(a.ended.Sub(a.began).Microseconds())
	}
}

func (r *record) read(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readCount++
	_ = r.reads.RecordValue(took.Microseconds())
}

func (r *record) failedRead(v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch v {
	case notRun:
		r.notRun++
	case unknown:
		r.unknown++
	}
}

func (r *record) note(list *[]string, trace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, trace)
}

// firstAcknowledged returns when a write to a group that began after at was acknowledged, or
// the zero time.
func (r *record) firstAcknowledged(group string, at time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	for _, a := range r.attempts {
		if a.group == group && a.verdict == acknowledged && a.ended.After(at) && a.began.After(at) {
			if first.IsZero() || a.ended.Before(first) {
				first = a.ended
			}
		}
	}
	return first
}
