package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/health"
)

// TestWorkOfBeforeAStandstill: whoever looks first after a standstill, the beat or a statement,
// what had arrived before is told from what comes later.
func TestWorkOfBeforeAStandstill(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, first := range []string{"beat", "statement"} {
		var s health.SuspendDetector
		is.True(!s.RecentlyResumed(at(0)))
		for ms := 0; ms <= 1000; ms += 50 {
			s.Heartbeat(at(ms))
			is.True(!s.RecentlyResumed(at(ms)))
		}
		is.True(!s.RecentlyResumed(at(1900))) // a busy VM may be late with a beat
		if first == "beat" {
			s.Heartbeat(at(7000))
		}
		is.True(s.RecentlyResumed(at(7001)))
		s.Heartbeat(at(7050))
		is.True(s.RecentlyResumed(at(7060)))
		s.Heartbeat(at(7100))
		is.True(!s.RecentlyResumed(at(7110)))
	}
}
