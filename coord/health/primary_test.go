package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/health"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func known() *health.FailureDetector { return &health.FailureDetector{Announced: true} }

func TestSilenceNeedsAQuestion(t *testing.T) {
	is := is.New(t)
	h := known()
	h.RecordRequest(at(0))
	h.RecordResponse(at(10), at(0))
	usable, _ := h.Evaluate(at(10_000))
	is.True(usable) // nobody has asked since
	is.True(h.ProbeDue(at(10_000)))
	h.RecordRequest(at(10_000))
	usable, _ = h.Evaluate(at(10_800))
	is.True(usable)
	usable, changed := h.Evaluate(at(10_900))
	is.True(!usable && changed)
	h.RecordResponse(at(11_000), at(10_000))
	usable, changed = h.Evaluate(at(11_000))
	is.True(usable && changed)
}

// TestSlowIsNotSilent has each statement take 800 ms, with others asked all the time.
func TestSlowIsNotSilent(t *testing.T) {
	is := is.New(t)
	h := known()
	for ms := 0; ms < 10_000; ms += 100 {
		h.RecordRequest(at(ms))
		if ms >= 800 {
			h.RecordResponse(at(ms), at(ms-800))
		}
		usable, _ := h.Evaluate(at(ms))
		is.True(usable)
	}
}

func TestRefusedConnections(t *testing.T) {
	is := is.New(t)
	h := known()
	h.RecordRefusal(at(0))
	usable, _ := h.Evaluate(at(200))
	is.True(usable)
	is.True(h.ProbeDue(at(200)))
	usable, _ = h.Evaluate(at(300))
	is.True(!usable)
	h.RecordResponse(at(400), at(390))
	usable, _ = h.Evaluate(at(400))
	is.True(usable)
}

func TestPrimaryThatLeftIsUnusable(t *testing.T) {
	is := is.New(t)
	var h health.FailureDetector
	usable, _ := h.Evaluate(at(0))
	is.True(!usable)
}
