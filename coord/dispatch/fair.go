package dispatch

import "time"

// fairShares orders workspaces by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each job
// has a virtual start time, which is the finish of its workspace's last job or the start of the last job
// of any workspace, whichever is later. The job with the earliest start is next, so that each workspace
// with work gets an equal share of service time, and one that was idle saves nothing up.
type fairShares struct {
	classes map[urgency]*shares
}

// urgency is a class of jobs that no other class shares servers with.
type urgency struct {
	pinned   bool
	priority int
}

type shares struct {
	now    time.Duration
	finish map[string]time.Duration
}

// candidate is a job that may run next, with its virtual start time.
type candidate struct {
	index  int
	server *server
	start  time.Duration
}

// prefer replaces the best candidate by another one that starts earlier; of equal ones the first stays.
func (*fairShares) prefer(best *candidate, other candidate) {
	if best.server == nil || other.start < best.start {
		*best = other
	}
}

// start returns a job's virtual start time.
func (f *fairShares) start(j Job) time.Duration {
	c := f.classes[urgency{j.Pinned, j.Priority}]
	if c == nil {
		return 0
	}
	return max(c.now, c.finish[j.Workspace])
}

// charge counts the expected service time of a job that starts.
func (f *fairShares) charge(j Job, serviceTime time.Duration) {
	key := urgency{j.Pinned, j.Priority}
	start := f.start(j)
	c := f.classes[key]
	if c == nil {
		if f.classes == nil {
			f.classes = map[urgency]*shares{}
		}
		c = &shares{finish: map[string]time.Duration{}}
		f.classes[key] = c
	}
	c.now = max(c.now, start)
	c.finish[j.Workspace] = start + serviceTime
	for workspace, finish := range c.finish {
		if finish <= c.now {
			delete(c.finish, workspace)
		}
	}
}

// jobsAhead returns the number of waiting jobs that are expected to start before a new one. Of each other
// workspace of the same urgency, as many count as of the job's own, and one more.
func (q *Queue) jobsAhead(j Job) int {
	ahead, own := 0, 0
	others := map[string]int{}
	for _, w := range q.waiting {
		switch {
		case compareJobs(w, j) > 0 || w.PrimaryOnly != j.PrimaryOnly:
		case compareUrgency(w, j) < 0:
			ahead++
		case w.Workspace == j.Workspace:
			own++
		default:
			others[w.Workspace]++
		}
	}
	for _, waiting := range others {
		ahead += min(waiting, own+1)
	}
	return ahead + own
}
