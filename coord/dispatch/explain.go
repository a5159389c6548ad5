package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Outcome is what a queue does with a job that is submitted.
type Outcome int

// Outcomes of a job.
const (
	// Started jobs run at once.
	Started Outcome = iota
	// Waits means that the job waits for a server.
	Waits
	// Refused jobs are not run.
	Refused
)

// Explanation is what a queue would do with a job now.
type Explanation struct {
	Outcome Outcome
	// Slot is the server that would run the job at once.
	Slot string
	// Refusal is set for refused jobs.
	Refusal Refusal
	// Predicted is the predicted time until the job is answered.
	Predicted time.Duration
	// Waiting is the number of jobs that wait now.
	Waiting int
	// Candidates are all servers, sorted by slot.
	Candidates []Candidate
}

// Candidate is a server as the decision sees it.
type Candidate struct {
	Load
	FailureDomain string
	// Cost is the predicted cost by which servers are compared, and Expected the predicted service time.
	Cost, Expected time.Duration
	// LeftOut is why the server would not run the job; empty for the one that would.
	LeftOut string
}

// ExcludedReason is Candidate.LeftOut of a server in Job.ExcludedSlots.
const ExcludedReason = "excluded"

// explainedID is the ID of an explained job, which no other job has.
const explainedID = math.MaxUint64

// Explain returns what Submit would do with a job now. It submits the job to a copy, so that the decision is
// that of Submit and the queue stays as it is.
func (q *Queue) Explain(now time.Time, j Job) Explanation {
	j.ID = explainedID
	e := Explanation{Outcome: Waits, Predicted: q.predictLatency(now, j), Waiting: len(q.waiting)}
	started, refused := q.clone().Submit(now, j)
	for _, s := range started {
		if s.JobID == explainedID {
			e.Outcome, e.Slot = Started, s.Slot
		}
	}
	for _, r := range refused {
		if r.JobID == explainedID {
			e.Outcome, e.Refusal = Refused, r
		}
	}
	for _, s := range q.servers {
		c := Candidate{
			Load:          Load{s.Slot, s.running, q.concurrency(s), s.serviceTime, s.Primary},
			FailureDomain: s.FailureDomain, Cost: q.cost(now, s, j), Expected: q.expectedServiceTime(now, s, j),
		}
		if e.Outcome != Started || s.Slot != e.Slot {
			c.LeftOut = q.whyLeftOut(now, s, j, e)
		}
		e.Candidates = append(e.Candidates, c)
	}
	slices.SortFunc(e.Candidates, func(a, b Candidate) int { return cmp.Compare(a.Slot, b.Slot) })
	return e
}

// whyLeftOut returns why a server does not run a job that is submitted.
func (q *Queue) whyLeftOut(now time.Time, s *server, j Job, e Explanation) string {
	switch {
	case j.Slot != "" && s.Slot != j.Slot:
		return "the job is bound to another server"
	case j.PrimaryOnly && !s.Primary:
		return "only the primary may run it"
	case slices.Contains(j.ExcludedSlots, s.Slot):
		return ExcludedReason
	case !s.allows(j):
		return "leaves the group"
	case !q.eligible(now, s, j):
		return "failed lately"
	case s.running >= q.concurrency(s):
		return "runs as many as it may"
	case e.Outcome == Started:
		return "higher predicted cost"
	case e.Outcome == Refused:
		return "refused before a server is chosen"
	}
	return "a busy server is predicted to answer sooner, or others go first"
}

// clone returns a queue that decides as this one and shares no state that changes.
func (q *Queue) clone() *Queue {
	c := *q
	if q.Capacity != nil {
		c.Capacity = readOnlyCapacity{q.Capacity}
	}
	c.servers = make(map[string]*server, len(q.servers))
	for slot, s := range q.servers {
		copied := *s
		copied.runningByTarget = maps.Clone(s.runningByTarget)
		c.servers[slot] = &copied
	}
	c.waiting = slices.Clone(q.waiting)
	c.fair.classes = make(map[urgency]*shares, len(q.fair.classes))
	for key, s := range q.fair.classes {
		c.fair.classes[key] = &shares{s.now, maps.Clone(s.finish)}
	}
	return &c
}

// readOnlyCapacity leaves out the changes of a copied queue.
type readOnlyCapacity struct{ Capacity }

func (readOnlyCapacity) SetRunning(time.Time, string, int) {}
