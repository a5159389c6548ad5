package dispatch

import (
	"cmp"
	"slices"
	"time"

	"trefoilcourse/coord/capacity"
)

const (
	// defaultConcurrency is the limit for a server that does not announce one.
	defaultConcurrency = 2
	// initialServiceTime is assumed for a server that has not answered yet.
	initialServiceTime = 10 * time.Millisecond
	// serviceTimeSmoothing is the inverse weight of a new sample in the moving average.
	serviceTimeSmoothing = 8
	// remoteCost is the latency that a read saves by staying in the owner's failure domain.
	remoteCost = 3 * time.Millisecond
	// primaryCost keeps reads that a replica could run from occupying the primary.
	primaryCost = 30 * time.Millisecond
	// connectCost is how long a server takes to accept a new connection, which occupies a slot.
	connectCost = 12 * time.Millisecond
	// failureLimit is the number of consecutive failures after which a server is skipped.
	failureLimit = 2
	// failureBackoff is how long a failing server is skipped; it is shorter than a restart.
	failureBackoff = 500 * time.Millisecond
	// starvationTimeout is how long newer jobs may bypass late ones before the late ones are refused:
	// it covers a few of the slowest statements and leaves callers most of their time for a retry.
	starvationTimeout = 300 * time.Millisecond
	// maxWaiting bounds the jobs that wait for one group at one owner.
	maxWaiting = 4096
)

// concurrency returns the number of statements that a server is given at a time.
func (q *Queue) concurrency(s *server) int {
	if q.Capacity == nil {
		return s.announcedConcurrency()
	}
	return min(s.announcedConcurrency(), max(1, q.Capacity.Limit(s.Slot)))
}

// setRunning changes the number of statements that run on a server.
func (q *Queue) setRunning(now time.Time, s *server, running int) {
	s.running = running
	if q.Capacity != nil {
		q.Capacity.SetRunning(now, s.Slot, running)
	}
}

// Queue holds the jobs of one group; it is not safe for concurrent use.
type Queue struct {
	// FailureDomain is the owner's failure domain.
	FailureDomain string
	// Connected reports whether a workspace has an idle connection to a server; nil means always.
	Connected func(slot, workspace string) bool
	// Regions maps failure domains to regions; nil if they are not known.
	Regions map[string]string
	// Capacity limits the concurrency of servers and predicts their service times; nil uses the
	// announced concurrency and the mean service time.
	Capacity Capacity
	// Owners is how many owners share the servers; 0 and 1 mean that this is the only one.
	Owners int

	servers map[string]*server
	waiting []Job
	fair    fairShares
}

// SetServers replaces the set of servers, keeping the load and statistics of those that remain.
func (q *Queue) SetServers(servers []Server) {
	next := map[string]*server{}
	for _, s := range servers {
		known := q.servers[s.Slot]
		if known == nil {
			known = &server{serviceTime: initialServiceTime}
		}
		known.Server = s
		known.otherRegion = q.Regions[s.FailureDomain] != q.Regions[q.FailureDomain]
		next[s.Slot] = known
	}
	q.servers = next
}

// Waiting returns the number of waiting jobs.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of statements running on a server.
func (q *Queue) Running(slot string) int {
	if s := q.servers[slot]; s != nil {
		return s.running
	}
	return 0
}

// ServiceTime returns the mean time a server takes to run a statement.
func (q *Queue) ServiceTime(slot string) time.Duration {
	if s := q.servers[slot]; s != nil {
		return s.serviceTime
	}
	return 0
}

// AnnouncedConcurrency returns the number of statements that a server announces to run at a time.
func (q *Queue) AnnouncedConcurrency(slot string) int {
	if s := q.servers[slot]; s != nil {
		return s.announcedConcurrency()
	}
	return 0
}

// Load describes the load of one server, for logs.
type Load struct {
	Slot        string
	Running     int
	Limit       int
	ServiceTime time.Duration
	Primary     bool
}

// Loads returns the load of each server, sorted by slot.
func (q *Queue) Loads() []Load {
	var loads []Load
	for slot, s := range q.servers {
		loads = append(loads, Load{slot, s.running, q.concurrency(s), s.serviceTime, s.Primary})
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Slot, b.Slot) })
	return loads
}

// Submit enqueues or refuses a job, and assigns waiting jobs to free servers.
func (q *Queue) Submit(now time.Time, j Job) ([]Assignment, []Refusal) {
	if !q.hasEligibleServer(j) {
		return nil, []Refusal{{JobID: j.ID, Reason: NoServer}}
	}
	if len(q.waiting) >= maxWaiting {
		return nil, []Refusal{{JobID: j.ID, Reason: QueueFull}}
	}
	latency := q.predictLatency(now, j)
	if now.Add(latency).After(j.Deadline) || q.wouldStarve(now, j, latency) {
		q.recordDeadlineRefusal(now, j)
		return nil, []Refusal{{JobID: j.ID, Reason: DeadlineExceeded, RetryAfter: latency}}
	}
	j.submitted = now
	at, _ := slices.BinarySearchFunc(q.waiting, j, func(a, b Job) int {
		if c := compareJobs(a, b); c != 0 {
			return c
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, j)
	return q.startRunnable(now)
}

// Done records that a job of an unknown kind on a server has ended, as DoneKind does.
func (q *Queue) Done(now time.Time, slot string, serviceTime time.Duration, ok bool) ([]Assignment, []Refusal) {
	return q.DoneKind(now, slot, capacity.Kind{}, serviceTime, ok)
}

// DoneKind records that a job of a kind on a server has ended; ok says that the server answered. A service time
// of 0 means that the server did not run the job; the mean service time is then unchanged.
func (q *Queue) DoneKind(now time.Time, slot string, kind capacity.Kind, serviceTime time.Duration, ok bool) ([]Assignment, []Refusal) {
	if s := q.servers[slot]; s != nil {
		q.setRunning(now, s, max(0, s.running-1))
		s.countRunning(kind.Target, -1)
		if ok {
			s.consecutiveFailures = 0
			if serviceTime > 0 {
				s.serviceTime += (serviceTime - s.serviceTime) / serviceTimeSmoothing
				s.fastest.record(now, serviceTime)
				s.crowd.record(now, kind.Target, serviceTime)
			}
		} else if s.consecutiveFailures++; s.consecutiveFailures >= failureLimit {
			s.retryAt = now.Add(failureBackoff)
		}
	}
	return q.startRunnable(now)
}

// RetryAfter returns after how long a refused job is worth another attempt: when the queue would have answered it,
// and, if late jobs have no turn, not before its target or starvationTimeout has passed.
func (q *Queue) RetryAfter(now time.Time, j Job) time.Duration {
	wait := q.predictLatency(now, j)
	if q.wouldStarve(now, j, wait) {
		wait = max(wait, min(starvationTimeout, j.orderingLatency()))
	}
	return wait
}

// Cancel removes a waiting job whose caller has left; it returns nothing if the job does not wait.
func (q *Queue) Cancel(id uint64) []Refusal {
	i := slices.IndexFunc(q.waiting, func(j Job) bool { return j.ID == id })
	if i < 0 {
		return nil
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return []Refusal{{JobID: id, Reason: Abandoned}}
}

// Tick refuses jobs that have waited too long or have no server left, and starts runnable ones.
func (q *Queue) Tick(now time.Time) ([]Assignment, []Refusal) { return q.startRunnable(now) }

// startRunnable refuses jobs that have waited too long or have no server left, and assigns the rest
// to free servers.
func (q *Queue) startRunnable(now time.Time) ([]Assignment, []Refusal) {
	var refused []Refusal
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		switch {
		case !now.Before(j.Deadline):
			q.recordDeadlineRefusal(now, j)
			refused = append(refused, Refusal{JobID: j.ID, Reason: DeadlineExceeded})
		case !q.hasEligibleServer(j):
			refused = append(refused, Refusal{JobID: j.ID, Reason: NoServer})
		case q.wouldStarve(now, j, 0):
			refused = append(refused, Refusal{JobID: j.ID, Reason: DeadlineExceeded, RetryAfter: starvationTimeout})
		default:
			kept = append(kept, j)
		}
	}
	q.waiting = kept
	var started []Assignment
	for {
		i, s := q.nextJob(now)
		if s == nil {
			q.clearIdleOverload(now)
			return started, refused
		}
		q.setRunning(now, s, s.running+1)
		s.countRunning(q.waiting[i].TargetLatency, 1)
		q.fair.charge(q.waiting[i], s.serviceTime)
		q.recordStart(now, s, q.waiting[i])
		started = append(started, Assignment{q.waiting[i].ID, s.Slot})
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// nextJob returns the index of the next job and its server, or nil. Among equally urgent jobs those
// that can still meet their soft deadline come first: after a stall, serving the oldest first would
// make every answer late. Among these, the job of the workspace that has had the least is next.
func (q *Queue) nextJob(now time.Time) (int, *server) {
	next, late := candidate{}, candidate{}
	seen := map[string]bool{}
	for i, j := range q.waiting {
		first := next
		if first.server == nil {
			first = late
		}
		if first.server != nil && compareUrgency(q.waiting[first.index], j) < 0 {
			break
		}
		if seen[j.Workspace] {
			continue
		}
		s := q.bestFreeServer(now, j, i)
		switch {
		case s == nil:
		case !s.missesSoftDeadline(now, j):
			seen[j.Workspace] = true
			q.fair.prefer(&next, candidate{i, s, q.fair.start(j)})
		default:
			q.fair.prefer(&late, candidate{i, s, q.fair.start(j)})
		}
	}
	if next.server != nil {
		return next.index, next.server
	}
	return late.index, late.server
}
