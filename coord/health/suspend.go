package health

import "time"

const (
	// suspendThreshold is the gap between two heartbeats that indicates a suspension. Heartbeats
	// are many times as frequent, and callers give up on statements after about as long.
	suspendThreshold = time.Second
	// resumeWindow is how long after a resume arriving work is taken to have been received before
	// the suspension.
	resumeWindow = 100 * time.Millisecond
)

// SuspendDetector detects that this VM was suspended, by a clock that includes suspensions. Work
// received before must not run seconds after its callers gave up on it. It is not safe for
// concurrent use; the zero value is ready for use.
type SuspendDetector struct {
	lastHeartbeat time.Time
	resumeUntil   time.Time
}

// Heartbeat records that the VM is running; it must be called many times a second.
func (d *SuspendDetector) Heartbeat(now time.Time) {
	d.detect(now)
	d.lastHeartbeat = now
}

// RecentlySuspended reports whether a suspension ended within resumeWindow.
func (d *SuspendDetector) RecentlySuspended(now time.Time) bool {
	d.detect(now)
	return now.Before(d.resumeUntil)
}

func (d *SuspendDetector) detect(now time.Time) {
	if !d.lastHeartbeat.IsZero() && now.Sub(d.lastHeartbeat) >= suspendThreshold {
		d.lastHeartbeat = now
		d.resumeUntil = now.Add(resumeWindow)
	}
}
