package dispatch

import "time"

const (
	// crowdedDivisor and fullyCrowdedDivisor are the parts of the most urgent kind's target that its statements may
	// wait inside a server: from the first on, patient jobs get fewer places there, and from the second on only
	// the owner's share of them.
	crowdedDivisor      = 32
	fullyCrowdedDivisor = 16
	// patience is how many times as long as the most urgent kind's target that of a patient job is.
	patience = 2
	// crowdedMemory is for how many targets of the most urgent kind its last answer counts; an owner
	// gets few answers of that kind from a server.
	crowdedMemory = 30
)

// crowd estimates how long statements wait inside a server, behind those of other owners. A server runs what it
// gets in order of arrival, so that urgent statements wait there behind the long ones of all owners,
// whatever the order of the owners' queues is. The estimate is made from the kind with the shortest target, since it
// suffers first.
type crowd struct {
	target  time.Duration
	mean    time.Duration
	fastest fastestAnswer
	last    time.Time
}

// record counts an answer of a kind.
func (c *crowd) record(now time.Time, target, took time.Duration) {
	if target == 0 || took == 0 || c.current(now) && target > c.target {
		return
	}
	if !c.current(now) || target < c.target {
		*c = crowd{target: target, mean: took}
	}
	c.mean += (took - c.mean) / serviceTimeSmoothing
	c.fastest.record(now, took)
	c.last = now
}

// current reports whether the estimate is recent enough to be used.
func (c *crowd) current(now time.Time) bool {
	return c.target > 0 && now.Sub(c.last) <= crowdedMemory*c.target
}

// places returns how many of limit places patient jobs may take, at least share.
func (c *crowd) places(now time.Time, limit, share int) int {
	if !c.current(now) || share >= limit {
		return limit
	}
	wait, from, full := c.mean-c.fastest.value(), c.target/crowdedDivisor, c.target/fullyCrowdedDivisor
	switch {
	case wait <= from:
		return limit
	case wait >= full:
		return share
	}
	return limit - int(int64(limit-share)*int64(wait-from)/int64(full-from))
}

// isPatient reports whether a job with a target can wait much longer than the most urgent kind.
func (c *crowd) isPatient(target time.Duration) bool {
	return target == 0 || target >= patience*c.target
}

// hasPlace reports whether a server has a place for a job now.
func (q *Queue) hasPlace(now time.Time, s *server, j Job) bool {
	return s.running < q.concurrency(s) && q.leavesRoom(now, s, j)
}

// leavesRoom reports whether a server has a place for a job beside the work of other owners. Patient jobs take fewer
// places on a server in which urgent statements wait; the jobs of open transactions hold up others and are
// not limited.
func (q *Queue) leavesRoom(now time.Time, s *server, j Job) bool {
	if q.Owners <= 1 || j.Pinned || !s.crowd.isPatient(j.TargetLatency) {
		return true
	}
	limit := q.concurrency(s)
	places := s.crowd.places(now, limit, max(1, limit/q.Owners))
	if places >= limit {
		return true
	}
	patient := 0
	for target, running := range s.runningByTarget {
		if s.crowd.isPatient(target) {
			patient += running
		}
	}
	return patient < places
}

// countRunning counts a job of a kind that starts or ends on the server.
func (s *server) countRunning(target time.Duration, change int) {
	if s.runningByTarget == nil {
		s.runningByTarget = map[time.Duration]int{}
	}
	s.runningByTarget[target] += change
	if s.runningByTarget[target] <= 0 {
		delete(s.runningByTarget, target)
	}
}
