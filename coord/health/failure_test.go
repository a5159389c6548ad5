package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/health"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newDetector() *health.FailureDetector { return &health.FailureDetector{Announced: true} }

func TestMissingResponseNeedsRequest(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	d.RecordRequest(at(0))
	d.RecordResponse(at(10), at(0))
	usable, _ := d.Evaluate(at(10_000))
	is.True(usable) // no request since
	is.True(d.ProbeDue(at(10_000)))
	d.RecordRequest(at(10_000))
	usable, _ = d.Evaluate(at(10_800))
	is.True(usable)
	usable, changed := d.Evaluate(at(10_900))
	is.True(!usable && changed)
	d.RecordResponse(at(11_000), at(10_000))
	usable, changed = d.Evaluate(at(11_000))
	is.True(usable && changed)
}

// TestSlowResponsesAreUsable has each statement take 800 ms, with requests sent all the time.
func TestSlowResponsesAreUsable(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	for ms := 0; ms < 10_000; ms += 100 {
		d.RecordRequest(at(ms))
		if ms >= 800 {
			d.RecordResponse(at(ms), at(ms-800))
		}
		usable, _ := d.Evaluate(at(ms))
		is.True(usable)
	}
}

func TestRefusedConnectionsAreUnusable(t *testing.T) {
	is := is.New(t)
	d := newDetector()
	d.RecordRefusal(at(0))
	usable, _ := d.Evaluate(at(200))
	is.True(usable)
	is.True(d.ProbeDue(at(200)))
	usable, _ = d.Evaluate(at(300))
	is.True(!usable)
	d.RecordResponse(at(400), at(390))
	usable, _ = d.Evaluate(at(400))
	is.True(usable)
}

func TestUnannouncedPrimaryIsUnusable(t *testing.T) {
	is := is.New(t)
	var d health.FailureDetector
	usable, _ := d.Evaluate(at(0))
	is.True(!usable)
}
