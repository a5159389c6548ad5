package lines_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire/lines"
)

// TestLimiterCountsWhatItSuppresses guards against a flood of lines of one kind, and against one that nobody notices.
func TestLimiterCountsWhatItSuppresses(t *testing.T) {
	is := is.New(t)
	var l lines.Limiter
	now := time.Unix(1, 0)
	allowed := 0
	for range 25 {
		if _, ok := l.Allow(now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 10)
	suppressed, ok := l.Allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 15)
}
