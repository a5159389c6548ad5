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
		var s health.Standstill
		is.True(!s.Woke(at(0)))
		for ms := 0; ms <= 1000; ms += 50 {
			s.Beat(at(ms))
			is.True(!s.Woke(at(ms)))
		}
		is.True(!s.Woke(at(1900))) // a busy VM may be late with a beat
		if first == "beat" {
			s.Beat(at(7000))
		}
		is.True(s.Woke(at(7001)))
		s.Beat(at(7050))
		is.True(s.Woke(at(7060)))
		s.Beat(at(7100))
		is.True(!s.Woke(at(7110)))
	}
}
