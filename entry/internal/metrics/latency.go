package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMS is beyond every statement's limit; longer ones count as this.
	maxLatencyMS = 60_000
	// latencyDigits is the precision of a histogram in decimal digits.
	latencyDigits = 2
)

// Latency is a histogram of times in milliseconds, visible by expvar; it is ready for use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds one time.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
	}
	// Values are kept within the histogram's bounds, so that none is refused.
	_ = l.histogram.RecordValue(min(maxLatencyMS, max(1, d.Milliseconds())))
}

// quantiles is what is shown of a histogram, in milliseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-ms"`
	P90   int64 `json:"p90-ms"`
	P99   int64 `json:"p99-ms"`
	Max   int64 `json:"max-ms"`
}

// String returns the count and some quantiles as JSON, for expvar.
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
