package lines

import (
	"sync"
	"time"
)

// maxPerSecond limits the lines of one kind: in a disturbance that concerns every statement, the first few lines
// are enough to show why.
const maxPerSecond = 10

// Limiter limits the rate of log lines of one kind; its zero value is ready to use.
type Limiter struct {
	mu          sync.Mutex
	windowStart time.Time
	count       int
	// suppressed counts the lines dropped since the last one that was logged.
	suppressed int
}

// Allow reports whether a line may be logged, and how many were suppressed before it.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.count = now, 0
	}
	if l.count >= maxPerSecond {
		l.suppressed++
		return 0, false
	}
	l.count++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
