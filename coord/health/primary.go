package health

import "time"

const (
	// ResponseTimeout is how long a primary may answer nothing: statements take well below it even on
	// a slow server, and a shorter one would depose servers in a short disturbance.
	ResponseTimeout = 900 * time.Millisecond
	// RefusalTimeout is how long connections may be refused; a listening server never refuses.
	RefusalTimeout = 300 * time.Millisecond
	// doubt is a part of Silence: another owner may reach the primary.
	doubt = 400 * time.Millisecond
	// probeInterval is how long nothing is asked before the owner asks something itself.
	probeInterval = 700 * time.Millisecond
)

// FailureDetector is what an owner has seen of a primary; it is not safe for concurrent use.
type FailureDetector struct {
	// Announced says that the server is still announced.
	Announced bool

	// waiting is when the first question was asked that no answer has followed.
	waiting time.Time
	// refused is when connections began to be refused.
	refused  time.Time
	answered time.Time
	asked    time.Time
	unusable bool
}

// RecordRequest takes note of a question.
func (p *FailureDetector) RecordRequest(now time.Time) {
	p.asked = now
	if p.waiting.IsZero() {
		p.waiting = now
	}
}

// RecordResponse takes note of an answer, whatever it says, to a question that was asked at a time.
func (p *FailureDetector) RecordResponse(now, asked time.Time) {
	p.answered = now
	p.refused = time.Time{}
	if !p.waiting.IsZero() && !p.waiting.After(asked) {
		p.waiting = time.Time{}
	}
}

// RecordRefusal takes note of a refused connection.
func (p *FailureDetector) RecordRefusal(now time.Time) {
	if p.refused.IsZero() {
		p.refused = now
	}
}

// Evaluate returns the finding and whether it has changed.
func (p *FailureDetector) Evaluate(now time.Time) (usable, changed bool) {
	silent := !p.waiting.IsZero() && now.Sub(p.waiting) >= ResponseTimeout && now.Sub(p.answered) >= ResponseTimeout
	refused := !p.refused.IsZero() && now.Sub(p.refused) >= RefusalTimeout
	unusable := silent || refused || !p.Announced
	changed = unusable != p.unusable
	p.unusable = unusable
	return !unusable, changed
}

// Unresponsive reports whether a question has gone unanswered for longer than answers take, so that
// work is better taken elsewhere; it is not reported.
func (p *FailureDetector) Unresponsive(now time.Time) bool {
	silent := !p.waiting.IsZero() && now.Sub(p.waiting) >= doubt && now.Sub(p.answered) >= doubt
	return silent || !p.refused.IsZero() || p.unusable
}

// Unusable returns the last finding.
func (p *FailureDetector) Unusable() bool { return p.unusable }

// ProbeDue reports whether a question of the owner's own is needed.
func (p *FailureDetector) ProbeDue(now time.Time) bool {
	return p.unusable || !p.refused.IsZero() || now.Sub(p.asked) >= probeInterval
}
