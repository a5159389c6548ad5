package sessions

import (
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
)

// logIfLate logs a statement that exceeded its database's latency objective, with the time spent
// waiting at the owner, on the server, and elsewhere (links and this VM).
func (s *Sessions) logIfLate(c *Session, r *wire.StatementRequest, a *wire.StatementAnswer, owner string, elapsed time.Duration) {
	d, _, _, ok := s.View.Database(r.GetDatabase())
	objective := time.Duration(d.LatencyMilliseconds) * time.Millisecond
	if !ok || objective == 0 || elapsed <= objective || a.GetDisposition() != wire.Disposition_DISPOSITION_ANSWERED {
		return
	}
	suppressed, ok := s.lateLogs.Allow(clock.Now())
	if !ok {
		return
	}
	waited := time.Duration(a.GetWaitedMicroseconds()) * time.Microsecond
	ran := time.Duration(a.GetRanMicroseconds()) * time.Microsecond
	s.Log.WithFields(map[string]any{
		"request": r.GetId(), "session": c.id, "unit": r.GetUnit(), "database": r.GetDatabase(), "owner": owner,
		"statement": r.GetKind().String(), "took-ms": elapsed.Milliseconds(), "objective-ms": d.LatencyMilliseconds,
		"waited-ms": waited.Milliseconds(), "ran-ms": ran.Milliseconds(), "else-ms": (elapsed - waited - ran).Milliseconds(),
		"not-logged-before": suppressed,
	}).Info("statement exceeded its latency objective")
}
