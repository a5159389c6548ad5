package health

import "time"

const (
	// standstillLimit is a gap between two beats that only a VM which stood still shows: beats are
	// many times as frequent, and callers give statements up after about as long.
	standstillLimit = time.Second
	// wakeTime is how long a VM that stood still works off what had reached it before.
	wakeTime = 100 * time.Millisecond
)

// SuspendDetector notices that this VM stood still, by a clock that counts suspensions: what had reached
// it before is of no use to anybody, and must not run seconds after its callers gave it up. It is
// not safe for concurrent use; its zero value is ready for use.
type SuspendDetector struct {
	beat  time.Time
	until time.Time
}

// Heartbeat takes note that the VM works; it is called many times a second.
func (s *SuspendDetector) Heartbeat(now time.Time) {
	s.look(now)
	s.beat = now
}

// RecentlyResumed reports whether the VM stood still until a moment ago.
func (s *SuspendDetector) RecentlyResumed(now time.Time) bool {
	s.look(now)
	return now.Before(s.until)
}

func (s *SuspendDetector) look(now time.Time) {
	if !s.beat.IsZero() && now.Sub(s.beat) >= standstillLimit {
		s.beat = now
		s.until = now.Add(wakeTime)
	}
}
