// Package health finds out from the answers to ordinary statements whether a primary is usable.
//
// A primary is unusable when it has been asked and has answered nobody for Silence, when its VM
// has refused connections for Refusal, or when it is not announced any more. Traffic is the
// probe; Due says when a question of the owner's own is needed in its place.
//
//	var h health.Primary
//	h.Asked(now)
//	h.Answered(now)
//	usable, changed := h.Judge(now)
//
// Standstill tells whether this VM itself has just woken, so that nothing runs that reached it before.
package health
