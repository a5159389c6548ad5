package sessions

import (
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
)

// lateLinesPerSecond bounds the lines about late statements: under overload each of them is late,
// and the first few tell why.
const lateLinesPerSecond = 10

// lateLines bounds how often late statements are logged; it is ready for use as it is.
type lateLines struct {
	mu    sync.Mutex
	since time.Time
	count int
	// left counts those that were not logged since the last line.
	left int
}

// take reports whether one more line may be written, and how many were left out before it.
func (l *lateLines) take(now time.Time) (left int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.count = now, 0
	}
	if l.count >= lateLinesPerSecond {
		l.left++
		return 0, false
	}
	l.count++
	left, l.left = l.left, 0
	return left, true
}

// noteLate logs a statement that was answered later than its database's objective, with where the
// time went: waiting at the owner, at the server, and the rest on links and in this VM.
func (s *Sessions) noteLate(c *Session, r *wire.StatementRequest, a *wire.StatementAnswer, owner string, took time.Duration) {
	d, _, _, ok := s.View.Database(r.GetDatabase())
	objective := time.Duration(d.LatencyMilliseconds) * time.Millisecond
	if !ok || objective == 0 || took <= objective || a.GetDisposition() != wire.Disposition_DISPOSITION_ANSWERED {
		return
	}
	left, ok := s.late.take(clock.Now())
	if !ok {
		return
	}
	waited := time.Duration(a.GetWaitedMicroseconds()) * time.Microsecond
	ran := time.Duration(a.GetRanMicroseconds()) * time.Microsecond
	s.Log.WithFields(map[string]any{
		"request": r.GetId(), "session": c.id, "unit": r.GetUnit(), "database": r.GetDatabase(), "owner": owner,
		"statement": r.GetKind().String(), "took-ms": took.Milliseconds(), "objective-ms": d.LatencyMilliseconds,
		"waited-ms": waited.Milliseconds(), "ran-ms": ran.Milliseconds(), "else-ms": (took - waited - ran).Milliseconds(),
		"not-logged-before": left,
	}).Info("statement is late")
}
