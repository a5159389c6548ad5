package dispatch

import (
	"slices"
	"time"
)

// starvesLateJobs reports whether late jobs will not run here while the current load lasts.
func (s *server) starvesLateJobs(now time.Time) bool {
	return !s.bypassedSince.IsZero() && now.Sub(s.bypassedSince) >= starvationTimeout
}

// missesSoftDeadline reports whether this server would answer a job after its soft deadline.
func (s *server) missesSoftDeadline(now time.Time, j Job) bool {
	return !j.SoftDeadline.IsZero() && now.Add(s.serviceTime).After(j.SoftDeadline)
}

// PrimaryOverloaded reports whether the primary is overloaded to the point that late jobs never run on it, or
// that jobs which only it may run are refused because of their deadline.
func (q *Queue) PrimaryOverloaded(now time.Time) bool {
	for _, s := range q.servers {
		if s.Primary && (s.starvesLateJobs(now) || s.refusesByDeadline(now)) {
			return true
		}
	}
	return false
}

// refusesByDeadline reports whether jobs have been refused because of their deadline for starvationTimeout, without
// a free place on the server meanwhile.
func (s *server) refusesByDeadline(now time.Time) bool {
	return !s.refusingSince.IsZero() && !now.After(s.refusingUntil) && now.Sub(s.refusingSince) >= starvationTimeout
}

// recordDeadlineRefusal records a job that is refused because of its deadline at the only server that may run it. A
// database whose target latency exceeds the time limit of its statements has no late jobs: under
// overload this is the only sign. The refusal counts as long as the job had time, since what the server has
// accepted takes about that long.
func (q *Queue) recordDeadlineRefusal(now time.Time, j Job) {
	var only *server
	for _, s := range q.servers {
		if !q.eligible(now, s, j) {
			continue
		}
		if only != nil {
			return
		}
		only = s
	}
	if only == nil || q.hasPlace(now, only, j) {
		return
	}
	if now.After(only.refusingUntil) {
		only.refusingSince = now
	}
	arrived := j.submitted
	if arrived.IsZero() {
		arrived = now
	}
	if until := now.Add(max(starvationTimeout, j.Deadline.Sub(arrived))); until.After(only.refusingUntil) {
		only.refusingUntil = until
	}
}

// recordStart records whether the job that a server starts bypasses late jobs.
func (q *Queue) recordStart(now time.Time, s *server, j Job) {
	if s.missesSoftDeadline(now, j) {
		s.bypassedSince = time.Time{}
		return
	}
	lateJobWaits := slices.ContainsFunc(q.waiting, func(w Job) bool { return s.missesSoftDeadline(now, w) && q.eligible(now, s, w) })
	if lateJobWaits && s.bypassedSince.IsZero() {
		s.bypassedSince = now
	}
}

// clearIdleOverload clears the signs of overload of servers with free capacity for which no job waits.
func (q *Queue) clearIdleOverload(now time.Time) {
	for _, s := range q.servers {
		waits := func(j Job) bool { return q.eligible(now, s, j) && !q.hasPlace(now, s, j) }
		if s.running < q.concurrency(s) && !slices.ContainsFunc(q.waiting, waits) {
			s.bypassedSince, s.refusingSince, s.refusingUntil = time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// wouldStarve reports whether a job that starts after wait would be late and every eligible server
// starves late jobs; refusing it at once leaves its caller time to retry. After a stall late jobs
// run as soon as the newer ones are served, so they are kept.
func (q *Queue) wouldStarve(now time.Time, j Job, wait time.Duration) bool {
	found := false
	for _, s := range q.servers {
		if !q.eligible(now, s, j) {
			continue
		}
		late := s.missesSoftDeadline(now, j) || !j.SoftDeadline.IsZero() && now.Add(wait).After(j.SoftDeadline)
		if !late || !s.starvesLateJobs(now) || q.hasPlace(now, s, j) {
			return false
		}
		found = true
	}
	return found
}
