// Package health detects from the responses to ordinary statements whether a primary is usable.
//
// A primary is unusable when requests are outstanding and it has sent no response for
// ResponseTimeout, when its VM has refused connections for RefusalTimeout, or when it is no longer
// announced. Regular traffic serves as the probe; ProbeDue reports when the owner must send one.
//
//	d := health.FailureDetector{Announced: true}
//	d.RecordRequest(now)
//	d.RecordResponse(later, now)
//	usable, changed := d.Evaluate(later)
//
// SuspendDetector reports whether this VM has just resumed from a suspension, so that work received
// before it is not run.
package health
