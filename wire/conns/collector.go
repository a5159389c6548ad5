package conns

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	cyclesMetric = "/gc/cycles/total:gc-cycles"
	// collectPause is between the cycles that a Collector starts, beside collectShare times the duration of the last
	// one: they take a fifth of the time at most.
	collectPause = 5 * time.Millisecond
	collectShare = 4
)

// Collector runs the garbage collector for a budget that waits for memory. The zero value is ready to use.
type Collector struct {
	mu      sync.Mutex
	running bool
	// next is when another cycle may be started.
	next time.Time
}

// Cycles returns how many cycles of the garbage collector have completed.
func (*Collector) Cycles() uint64 {
	sample := [1]metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(sample[:])
	return sample[0].Value.Uint64()
}

// Collect starts a cycle and calls done once it has completed, unless one runs or the last one was a moment ago.
func (c *Collector) Collect(done func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || time.Now().Before(c.next) {
		return false
	}
	c.running = true
	go func() {
		began := time.Now()
		runtime.GC()
		c.mu.Lock()
		c.running = false
		now := time.Now()
		c.next = now.Add(collectPause + collectShare*now.Sub(began))
		c.mu.Unlock()
		done()
	}()
	return true
}
