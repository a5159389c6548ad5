package dispatch

import (
	"slices"
	"time"

	"trefoilcourse/coord/capacity"
)

// Server is a backend server of the group.
type Server struct {
	Slot          string
	FailureDomain string
	// Limit is the number of statements that the server runs concurrently; 0 means unknown.
	Limit   int
	Primary bool
	// Leaving servers get no new jobs.
	Leaving bool
}

// Capacity tells how many statements a server handles well and how fast it is; capacity.Estimator
// implements it.
type Capacity interface {
	// SetRunning records how many statements run on a server from now on.
	SetRunning(now time.Time, slot string, running int)
	// Limit returns the number of statements that a server runs at a time.
	Limit(slot string) int
	// Predict returns the service time of a kind of statement; false means that it is not known.
	Predict(now time.Time, slot string, k capacity.Kind) (time.Duration, bool)
}

type server struct {
	Server
	running             int
	serviceTime         time.Duration
	consecutiveFailures int
	retryAt             time.Time
	// otherRegion is set if the server is in another region than the owner.
	otherRegion bool
	fastest     fastestAnswer
	// bypassedSince is when newer jobs that are in time began to be started before late ones here;
	// zero if they are not. After starvationTimeout, late jobs are refused at once.
	bypassedSince time.Time
	// refusingSince is when jobs began to be refused because of their deadline while the server ran as much as it
	// may; they count as refused on until refusingUntil.
	refusingSince, refusingUntil time.Time
	// runningByTarget counts the running statements by their target latency.
	runningByTarget map[time.Duration]int
	crowd           crowd
}

// announcedConcurrency returns the number of statements that the server announces to run at a time, and in
// another region those that travel meanwhile.
func (s *server) announcedConcurrency() int {
	limit := s.Limit
	if limit == 0 {
		limit = defaultConcurrency
	}
	if s.otherRegion {
		limit += s.inTransit(limit)
	}
	return limit
}

// allows reports whether a server may run a job, regardless of its load and failures.
func (s *server) allows(j Job) bool {
	if j.Slot != "" {
		return s.Slot == j.Slot
	}
	return !(s.Leaving && !j.Pinned || j.PrimaryOnly && !s.Primary || slices.Contains(j.ExcludedSlots, s.Slot))
}

// eligible reports whether a server may run a job, regardless of its load. A server that has failed
// lately is skipped only while another may run the job: it may still answer most.
func (q *Queue) eligible(now time.Time, s *server, j Job) bool {
	return s.allows(j) && (!s.failing(now) || !q.hasHealthyServer(now, j))
}

// failing reports whether a server is to be skipped because of its last answers.
func (s *server) failing(now time.Time) bool { return now.Before(s.retryAt) }

func (q *Queue) hasHealthyServer(now time.Time, j Job) bool {
	for _, s := range q.servers {
		if s.allows(j) && !s.failing(now) {
			return true
		}
	}
	return false
}

func (q *Queue) hasEligibleServer(j Job) bool {
	for _, s := range q.servers {
		if s.allows(j) {
			return true
		}
	}
	return false
}

// bestFreeServer returns the free server with the lowest predicted cost, or nil. With Capacity it is nil
// also if a busy server, for which ahead jobs wait, is predicted to answer sooner.
func (q *Queue) bestFreeServer(now time.Time, j Job, ahead int) *server {
	var best *server
	var bestCost time.Duration
	for _, s := range q.servers {
		if !q.eligible(now, s, j) || !q.hasPlace(now, s, j) {
			continue
		}
		cost := q.cost(now, s, j)
		if best == nil || cost < bestCost || cost == bestCost && s.Slot < best.Slot {
			best, bestCost = s, cost
		}
	}
	if best != nil && q.busyServerIsSooner(now, j, ahead, bestCost) {
		return nil
	}
	return best
}

// cost returns the predicted cost of running a job on a server.
func (q *Queue) cost(now time.Time, s *server, j Job) time.Duration {
	cost := q.expectedServiceTime(now, s, j) * time.Duration(s.running+1)
	if s.FailureDomain != q.FailureDomain {
		cost += remoteCost
	}
	if s.Primary {
		cost += primaryCost
	}
	if j.Workspace != "" && q.Connected != nil && !q.Connected(s.Slot, j.Workspace) {
		cost += connectCost
	}
	return cost
}

// busyServerIsSooner reports whether a server that runs as much as it may is predicted to answer a job
// at a lower cost, including the wait until ahead other jobs and this one have a place there. No job waits
// for it while more jobs wait than it runs at a time, so that no server is idle under overload, and none
// for longer than predicted, since the server may have stopped answering.
func (q *Queue) busyServerIsSooner(now time.Time, j Job, ahead int, cost time.Duration) bool {
	if q.Capacity == nil {
		return false
	}
	for _, s := range q.servers {
		if limit := q.concurrency(s); s.running >= limit && len(q.waiting) <= limit && q.eligible(now, s, j) {
			wait := q.expectedServiceTime(now, s, j) * time.Duration(ahead+1) / time.Duration(limit)
			if now.Sub(j.submitted) <= wait && wait+q.cost(now, s, j) < cost {
				return true
			}
		}
	}
	return false
}

// expectedServiceTime returns the time that a server is expected to take for a job.
func (q *Queue) expectedServiceTime(now time.Time, s *server, j Job) time.Duration {
	if q.Capacity != nil {
		if expected, ok := q.Capacity.Predict(now, s.Slot, j.Kind()); ok {
			return expected
		}
	}
	return s.serviceTime
}

// predictLatency returns the predicted time until a job is answered: the jobs ahead of it on the
// servers that may run it, and its own service time.
func (q *Queue) predictLatency(now time.Time, j Job) time.Duration {
	ahead := q.jobsAhead(j)
	var throughput float64
	var shortest time.Duration
	for _, s := range q.servers {
		if q.eligible(now, s, j) {
			ahead += s.running
			throughput += float64(q.concurrency(s)) / float64(max(s.serviceTime, time.Millisecond))
			if shortest == 0 || s.serviceTime < shortest {
				shortest = s.serviceTime
			}
		}
	}
	if throughput == 0 {
		return 0
	}
	wait := time.Duration(float64(ahead)/throughput) - shortest
	return max(0, wait) + shortest
}
