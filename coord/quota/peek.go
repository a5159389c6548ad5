package quota

import "time"

// Peeked is what a Holder would decide on an operation.
type Peeked struct {
	Outcome Outcome
	// Exhausted says that all owners together have used the cap up.
	Exhausted bool
	// Held are the operations that this owner holds, by an answer of the given age; negative if there was
	// none.
	Held int
	Age  time.Duration
}

// outcome returns the decision on an operation that arrives now.
func (w *holding) outcome(now time.Time, o Operation) Outcome {
	switch {
	case w.held > 0:
		return Admitted
	case now.Before(w.exhaustedUntil) || !now.Before(o.Until) || len(w.waiting) >= maxWaiting:
		return Refused
	}
	return Waiting
}

// Peek returns what Admit would decide now, and changes nothing.
func (h *Holder) Peek(now time.Time, o Operation) Peeked {
	var w holding
	if known := h.workspaces[o.Workspace]; known != nil {
		w = *known
	}
	if !h.validUntil.IsZero() && !now.Before(h.validUntil) {
		// Admit would drop what is held first.
		w.held, w.reserved = 0, 0
	}
	p := Peeked{Outcome: w.outcome(now, o), Exhausted: now.Before(w.exhaustedUntil), Held: w.held + w.reserved, Age: -1}
	if !h.answeredAt.IsZero() {
		p.Age = now.Sub(h.answeredAt)
	}
	return p
}
