package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// defaultLimit is the concurrency of a server that does not announce it.
	defaultLimit = 2
	// initialService is the service time assumed of a server that has not answered yet.
	initialService = 10 * time.Millisecond
	// serviceWeight is the inverse of the weight of a new service time in the running mean.
	serviceWeight = 8
	// remoteCost is what a read gains by staying in the owner's failure domain.
	remoteCost = 3 * time.Millisecond
	// primaryCost keeps reads that a replica could run away from the primary's slots.
	primaryCost = 30 * time.Millisecond
	// failureLimit is the number of failures in a row after which a server is left alone.
	failureLimit = 2
	// failurePause is how long a failing server is left alone: shorter than its restart.
	failurePause = 500 * time.Millisecond
	// starvation is how long late work may be passed over by newer work before it is given up: a
	// few turns of the slowest statements, and short beside what callers have left for a retry.
	starvation = 300 * time.Millisecond
	// maxWaiting bounds what waits for one group at one owner.
	maxWaiting = 4096
)

// Server is a backend server of the group.
type Server struct {
	Slot          string
	FailureDomain string
	// Limit is the number of statements that it works on at once; 0 means unknown.
	Limit   int
	Primary bool
	// Leaving servers get no new work.
	Leaving bool
}

// Job is one statement that is to run.
type Job struct {
	ID       uint64
	Priority int
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// SoftDeadline is when its answer is late for the caller; zero says nothing.
	SoftDeadline time.Time
	// TargetLatency is how soon callers of its kind expect an answer; of equally urgent work that which is
	// expected sooner goes first. Zero goes last.
	TargetLatency time.Duration
	// Slot is the only server that may run it, or empty.
	Slot string
	// PrimaryOnly says that only the primary may run it.
	PrimaryOnly bool
	// ExcludedSlots lists servers that have shown that they cannot run it.
	ExcludedSlots []string
	// Pinned jobs belong to a transaction under way, and go before all others.
	Pinned bool
}

// Assignment tells which server runs a job.
type Assignment struct {
	JobID uint64
	Slot  string
}

// Reason says why a job is refused.
type Reason int

// The reasons of a refusal.
const (
	// NoServer means that no server may run it now.
	NoServer Reason = iota
	// DeadlineExceeded means that its turn would come after its deadline.
	DeadlineExceeded
	// QueueFull means that too much waits.
	QueueFull
)

// Refusal is a job that is not run.
type Refusal struct {
	JobID  uint64
	Reason Reason
	// Wait is how long it would have waited.
	Wait time.Duration
}

type server struct {
	Server
	running  int
	service  time.Duration
	failures int
	retryAt  time.Time
	// passedSince is since when late work has been passed over here by newer work, without a turn.
	passedSince time.Time
}

// starves reports whether late work has no turn here as long as as much comes in as does now.
func (s *server) starves(now time.Time) bool {
	return !s.passedSince.IsZero() && now.Sub(s.passedSince) >= starvation
}

// isLate reports whether the answer to a job would come after its objective from this server.
func (s *server) isLate(now time.Time, j Job) bool {
	return !j.SoftDeadline.IsZero() && now.Add(s.service).After(j.SoftDeadline)
}

func (s *server) limit() int {
	if s.Limit == 0 {
		return defaultLimit
	}
	return s.Limit
}

// Queue is the work of one group; it is not safe for concurrent use.
type Queue struct {
	// FailureDomain is the owner's.
	FailureDomain string

	servers map[string]*server
	waiting []Job
}

// SetServers says which servers there are now; what runs on one that is gone still counts
// until it is done.
func (q *Queue) SetServers(servers []Server) {
	next := map[string]*server{}
	for _, s := range servers {
		known := q.servers[s.Slot]
		if known == nil {
			known = &server{service: initialService}
		}
		known.Server = s
		next[s.Slot] = known
	}
	q.servers = next
}

// Waiting returns the number of jobs that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of statements that run on a server.
func (q *Queue) Running(slot string) int {
	if s := q.servers[slot]; s != nil {
		return s.running
	}
	return 0
}

// ServiceTime returns the mean time that a server takes for a statement.
func (q *Queue) ServiceTime(slot string) time.Duration {
	if s := q.servers[slot]; s != nil {
		return s.service
	}
	return 0
}

// Load is what one server works on, for logs.
type Load struct {
	Slot        string
	Running     int
	Limit       int
	ServiceTime time.Duration
	Primary     bool
}

// Loads returns the load of each server, by slot.
func (q *Queue) Loads() []Load {
	var loads []Load
	for slot, s := range q.servers {
		loads = append(loads, Load{slot, s.running, s.limit(), s.service, s.Primary})
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Slot, b.Slot) })
	return loads
}

// Starving reports whether late work has no turn at the primary, since more comes in than it can do.
func (q *Queue) Starving(now time.Time) bool {
	for _, s := range q.servers {
		if s.Primary && s.starves(now) {
			return true
		}
	}
	return false
}

// Submit takes a job, and starts it if a server is free.
func (q *Queue) Submit(now time.Time, j Job) ([]Assignment, []Refusal) {
	if !q.servable(now, j) {
		return nil, []Refusal{{JobID: j.ID, Reason: NoServer}}
	}
	if len(q.waiting) >= maxWaiting {
		return nil, []Refusal{{JobID: j.ID, Reason: QueueFull}}
	}
	wait := q.predict(j)
	if now.Add(wait).After(j.Deadline) || q.starving(now, j, wait) {
		return nil, []Refusal{{JobID: j.ID, Reason: DeadlineExceeded, Wait: wait}}
	}
	at, _ := slices.BinarySearchFunc(q.waiting, j, func(a, b Job) int {
		if c := order(a, b); c != 0 {
			return c
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, j)
	return q.start(now)
}

// order puts the more urgent first, then what is expected sooner: a server that cannot do all
// serves more callers by short work, of which answers are expected soon, than by long.
func order(a, b Job) int {
	return cmp.Or(urgency(a, b), cmp.Compare(a.aim(), b.aim()))
}

func (j Job) aim() time.Duration {
	if j.TargetLatency == 0 {
		return math.MaxInt64
	}
	return j.TargetLatency
}

// urgency puts transactions under way first, then the lower priority.
func urgency(a, b Job) int {
	if a.Pinned != b.Pinned {
		if a.Pinned {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// Done takes note that a job on a server has ended; ok says that the server answered, and took,
// unless it is 0, how long it worked.
func (q *Queue) Done(now time.Time, slot string, took time.Duration, ok bool) ([]Assignment, []Refusal) {
	if s := q.servers[slot]; s != nil {
		s.running = max(0, s.running-1)
		if ok {
			s.failures = 0
			if took > 0 {
				s.service += (took - s.service) / serviceWeight
			}
		} else if s.failures++; s.failures >= failureLimit {
			s.retryAt = now.Add(failurePause)
		}
	}
	return q.start(now)
}

// Tick refuses what has waited too long or has lost its servers, and starts what may.
func (q *Queue) Tick(now time.Time) ([]Assignment, []Refusal) { return q.start(now) }

// start runs what may run now, and refuses what has waited too long or has lost its servers.
func (q *Queue) start(now time.Time) ([]Assignment, []Refusal) {
	var refused []Refusal
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		switch {
		case !now.Before(j.Deadline):
			refused = append(refused, Refusal{JobID: j.ID, Reason: DeadlineExceeded})
		case !q.servable(now, j):
			refused = append(refused, Refusal{JobID: j.ID, Reason: NoServer})
		case q.starving(now, j, 0):
			refused = append(refused, Refusal{JobID: j.ID, Reason: DeadlineExceeded, Wait: starvation})
		default:
			kept = append(kept, j)
		}
	}
	q.waiting = kept
	var started []Assignment
	for {
		i, s := q.next(now)
		if s == nil {
			q.noteIdle()
			return started, refused
		}
		s.running++
		q.noteTurn(now, s, q.waiting[i])
		started = append(started, Assignment{q.waiting[i].ID, s.Slot})
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// next returns the job whose turn it is and its server, or nil. Among jobs that are equally
// urgent those come first whose answer can still be in time: after a standstill, serving the
// oldest first would make every answer late.
func (q *Queue) next(now time.Time) (int, *server) {
	late := -1
	var lateServer *server
	for i, j := range q.waiting {
		if late >= 0 && urgency(q.waiting[late], j) < 0 {
			break
		}
		s := q.choose(now, j)
		switch {
		case s == nil:
		case !s.isLate(now, j):
			return i, s
		case late < 0:
			late, lateServer = i, s
		}
	}
	return late, lateServer
}

// noteTurn takes note of whether late work is passed over by the job that a server starts.
func (q *Queue) noteTurn(now time.Time, s *server, j Job) {
	if s.isLate(now, j) {
		s.passedSince = time.Time{}
		return
	}
	waits := slices.ContainsFunc(q.waiting, func(w Job) bool { return s.isLate(now, w) && s.usable(now, w) })
	if waits && s.passedSince.IsZero() {
		s.passedSince = now
	}
}

// noteIdle takes note of the servers for which nothing waits any more.
func (q *Queue) noteIdle() {
	for _, s := range q.servers {
		if s.running < s.limit() {
			s.passedSince = time.Time{}
		}
	}
}

// starving reports whether a job that has its turn after wait would be late, and newer work leaves
// late work no turn at any server: its caller is better told at once, with time left to try again.
// After a standstill late work has its turn as soon as what has come in since is served, and is
// kept.
func (q *Queue) starving(now time.Time, j Job, wait time.Duration) bool {
	found := false
	for _, s := range q.servers {
		if !s.usable(now, j) {
			continue
		}
		late := s.isLate(now, j) || !j.SoftDeadline.IsZero() && now.Add(wait).After(j.SoftDeadline)
		if !late || !s.starves(now) || s.running < s.limit() {
			return false
		}
		found = true
	}
	return found
}

// usable reports whether a server may run a job at all.
func (s *server) usable(now time.Time, j Job) bool {
	if j.Slot != "" {
		return s.Slot == j.Slot
	}
	if s.Leaving && !j.Pinned || j.PrimaryOnly && !s.Primary || slices.Contains(j.ExcludedSlots, s.Slot) {
		return false
	}
	return j.PrimaryOnly || !now.Before(s.retryAt)
}

func (q *Queue) servable(now time.Time, j Job) bool {
	for _, s := range q.servers {
		if s.usable(now, j) {
			return true
		}
	}
	return false
}

// choose returns the free server that is predicted to answer first, or nil.
func (q *Queue) choose(now time.Time, j Job) *server {
	var best *server
	var bestCost time.Duration
	for _, s := range q.servers {
		if !s.usable(now, j) || s.running >= s.limit() {
			continue
		}
		cost := s.service * time.Duration(s.running+1)
		if s.FailureDomain != q.FailureDomain {
			cost += remoteCost
		}
		if s.Primary {
			cost += primaryCost
		}
		if best == nil || cost < bestCost || cost == bestCost && s.Slot < best.Slot {
			best, bestCost = s, cost
		}
	}
	return best
}

// predict returns how long a job would wait for its answer: what goes before it on the servers
// that may run it, and its own service.
func (q *Queue) predict(j Job) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if order(w, j) <= 0 && w.PrimaryOnly == j.PrimaryOnly {
			ahead++
		}
	}
	var rate float64
	var service time.Duration
	for _, s := range q.servers {
		if s.usable(time.Time{}, j) || j.Slot == s.Slot {
			ahead += s.running
			rate += float64(s.limit()) / float64(max(s.service, time.Millisecond))
			if service == 0 || s.service < service {
				service = s.service
			}
		}
	}
	if rate == 0 {
		return 0
	}
	wait := time.Duration(float64(ahead)/rate) - service
	return max(0, wait) + service
}
