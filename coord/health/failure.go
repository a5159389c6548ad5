package health

import "time"

const (
	// ResponseTimeout is how long a primary may send no response. Statements take well below it
	// even on a slow server; a shorter timeout would replace primaries during brief disturbances.
	ResponseTimeout = 900 * time.Millisecond
	// RefusalTimeout is how long connections may be refused; a listening server never refuses them.
	RefusalTimeout = 300 * time.Millisecond
	// unresponsiveTimeout is the silence after which this owner sends work elsewhere. It is shorter
	// than ResponseTimeout, since another owner may reach the primary.
	unresponsiveTimeout = 400 * time.Millisecond
	// probeInterval is the time without requests after which the owner sends a probe.
	probeInterval = 700 * time.Millisecond
)

// FailureDetector tracks the responses of one primary; it is not safe for concurrent use.
type FailureDetector struct {
	// Announced is set while the server is announced.
	Announced bool

	// firstUnanswered is the time of the earliest request that no response has followed.
	firstUnanswered time.Time
	// refusedSince is the time of the first refusal since the last response.
	refusedSince time.Time
	lastResponse time.Time
	lastRequest  time.Time
	unusable     bool
}

// RecordRequest records that a request was sent.
func (d *FailureDetector) RecordRequest(now time.Time) {
	d.lastRequest = now
	if d.firstUnanswered.IsZero() {
		d.firstUnanswered = now
	}
}

// RecordResponse records any response, including errors, to a request sent at requestedAt.
func (d *FailureDetector) RecordResponse(now, requestedAt time.Time) {
	d.lastResponse = now
	d.refusedSince = time.Time{}
	if !d.firstUnanswered.IsZero() && !d.firstUnanswered.After(requestedAt) {
		d.firstUnanswered = time.Time{}
	}
}

// RecordRefusal records a refused connection.
func (d *FailureDetector) RecordRefusal(now time.Time) {
	if d.refusedSince.IsZero() {
		d.refusedSince = now
	}
}

// Evaluate returns whether the primary is usable and whether that has changed.
func (d *FailureDetector) Evaluate(now time.Time) (usable, changed bool) {
	silent := !d.firstUnanswered.IsZero() && now.Sub(d.firstUnanswered) >= ResponseTimeout && now.Sub(d.lastResponse) >= ResponseTimeout
	refused := !d.refusedSince.IsZero() && now.Sub(d.refusedSince) >= RefusalTimeout
	unusable := silent || refused || !d.Announced
	changed = unusable != d.unusable
	d.unusable = unusable
	return !unusable, changed
}

// Unresponsive reports whether a request has gone unanswered for longer than usual, so that work is
// better sent elsewhere. Unlike the result of Evaluate, it is not reported.
func (d *FailureDetector) Unresponsive(now time.Time) bool {
	silent := !d.firstUnanswered.IsZero() && now.Sub(d.firstUnanswered) >= unresponsiveTimeout && now.Sub(d.lastResponse) >= unresponsiveTimeout
	return silent || !d.refusedSince.IsZero() || d.unusable
}

// Unusable returns the result of the last Evaluate.
func (d *FailureDetector) Unusable() bool { return d.unusable }

// ProbeDue reports whether the owner must send a probe.
func (d *FailureDetector) ProbeDue(now time.Time) bool {
	return d.unusable || !d.refusedSince.IsZero() || now.Sub(d.lastRequest) >= probeInterval
}
