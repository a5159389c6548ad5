package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/health"
)

// TestSuspensionIsDetected checks that work received before a suspension is told from later work,
// whether a heartbeat or a statement comes first after it.
func TestSuspensionIsDetected(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, first := range []string{"beat", "statement"} {
		var d health.SuspendDetector
		is.True(!d.RecentlySuspended(at(0)))
		for ms := 0; ms <= 1000; ms += 50 {
			d.Heartbeat(at(ms))
			is.True(!d.RecentlySuspended(at(ms)))
		}
		is.True(!d.RecentlySuspended(at(1900))) // a busy VM may be late with a heartbeat
		if first == "beat" {
			d.Heartbeat(at(7000))
		}
		is.True(d.RecentlySuspended(at(7001)))
		d.Heartbeat(at(7050))
		is.True(d.RecentlySuspended(at(7060)))
		d.Heartbeat(at(7100))
		is.True(!d.RecentlySuspended(at(7110)))
	}
}
