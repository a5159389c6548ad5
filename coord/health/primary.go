package health

import "time"

const (
	// Silence is how long a primary may answer nothing: statements take well below it even on
	// a slow server, and a shorter one would depose servers in a short disturbance.
	Silence = 900 * time.Millisecond
	// Refusal is how long connections may be refused; a listening server never refuses.
	Refusal = 300 * time.Millisecond
	// doubt is a part of Silence: another owner may reach the primary.
	doubt = 400 * time.Millisecond
	// probeInterval is how long nothing is asked before the owner asks something itself.
	probeInterval = 700 * time.Millisecond
)

// Primary is what an owner has seen of a primary; it is not safe for concurrent use.
type Primary struct {
	// Known says that the server is still announced.
	Known bool

	// waiting is when the first question was asked that no answer has followed.
	waiting time.Time
	// refused is when connections began to be refused.
	refused  time.Time
	answered time.Time
	asked    time.Time
	unusable bool
}

// Asked takes note of a question.
func (p *Primary) Asked(now time.Time) {
	p.asked = now
	if p.waiting.IsZero() {
		p.waiting = now
	}
}

// Answered takes note of an answer, whatever it says, to a question that was asked at a time.
func (p *Primary) Answered(now, asked time.Time) {
	p.answered = now
	p.refused = time.Time{}
	if !p.waiting.IsZero() && !p.waiting.After(asked) {
		p.waiting = time.Time{}
	}
}

// Refused takes note of a refused connection.
func (p *Primary) Refused(now time.Time) {
	if p.refused.IsZero() {
		p.refused = now
	}
}

// Judge returns the finding and whether it has changed.
func (p *Primary) Judge(now time.Time) (usable, changed bool) {
	silent := !p.waiting.IsZero() && now.Sub(p.waiting) >= Silence && now.Sub(p.answered) >= Silence
	refused := !p.refused.IsZero() && now.Sub(p.refused) >= Refusal
	unusable := silent || refused || !p.Known
	changed = unusable != p.unusable
	p.unusable = unusable
	return !unusable, changed
}

// Doubtful reports whether a question has gone unanswered for longer than answers take, so that
// work is better taken elsewhere; it is not reported.
func (p *Primary) Doubtful(now time.Time) bool {
	silent := !p.waiting.IsZero() && now.Sub(p.waiting) >= doubt && now.Sub(p.answered) >= doubt
	return silent || !p.refused.IsZero() || p.unusable
}

// Unusable returns the last finding.
func (p *Primary) Unusable() bool { return p.unusable }

// Due reports whether a question of the owner's own is needed.
func (p *Primary) Due(now time.Time) bool {
	return p.unusable || !p.refused.IsZero() || now.Sub(p.asked) >= probeInterval
}
