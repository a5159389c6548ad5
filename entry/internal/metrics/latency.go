package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMS exceeds every statement timeout; longer durations are recorded as this value.
	maxLatencyMS = 60_000
	// latencyDigits is the precision of the histogram in significant decimal digits.
	latencyDigits = 2
)

// Latency is an expvar histogram of durations in milliseconds; the zero value is ready for use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds a duration.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
	}
	// The value is clamped to the histogram's range, so RecordValue cannot fail.
	_ = l.histogram.RecordValue(min(maxLatencyMS, max(1, d.Milliseconds())))
}

// quantiles is the exported summary of a histogram, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-ms"`
	P90   int64 `json:"p90-ms"`
	P99   int64 `json:"p99-ms"`
	Max   int64 `json:"max-ms"`
}

// String returns the summary as JSON, for expvar.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var q quantiles
	if h := l.histogram; h != nil {
		q = quantiles{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
	}
	text, err := json.Marshal(q)
	if err != nil {
		return "{}"
	}
	return string(text)
}
