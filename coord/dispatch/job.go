package dispatch

import (
	"cmp"
	"math"
	"time"

	"trefoilcourse/coord/capacity"
)

// Job is one statement that waits for a server.
type Job struct {
	ID       uint64
	Priority int
	// Deadline is the time after which the caller has no use for the answer.
	Deadline time.Time
	// SoftDeadline is the time after which the answer misses the caller's target; zero means none.
	SoftDeadline time.Time
	// TargetLatency is the response time that callers of this kind expect. Of equally urgent jobs
	// the one with the shorter target goes first; zero goes last.
	TargetLatency time.Duration
	// Slot is the only server that may run the job, or empty.
	Slot string
	// PrimaryOnly restricts the job to the primary.
	PrimaryOnly bool
	// ExcludedSlots lists servers that failed to run the job or are known to be unable to.
	ExcludedSlots []string
	// Pinned jobs belong to an open transaction and precede all others.
	Pinned bool
	// Workspace is the one whose connections the job needs. It shares servers fairly with others of the same
	// urgency; jobs without one are a workspace of their own.
	Workspace string
	// Writes is set for statements that write.
	Writes bool

	submitted time.Time
}

// Kind returns the kind of work, whose service times are comparable.
func (j Job) Kind() capacity.Kind { return capacity.Kind{Target: j.TargetLatency, Writes: j.Writes} }

// Assignment says which server runs a job.
type Assignment struct {
	JobID uint64
	Slot  string
}

// Reason says why a job is refused.
type Reason int

// Reasons for a refusal.
const (
	// NoServer means that no server may run the job now.
	NoServer Reason = iota
	// DeadlineExceeded means that the job is past its deadline, is predicted to miss it, or is late
	// and keeps being bypassed by newer jobs.
	DeadlineExceeded
	// QueueFull means that the queue has reached its limit.
	QueueFull
	// Abandoned means that the job's caller has left.
	Abandoned
)

// Refusal reports a job that is not run.
type Refusal struct {
	JobID  uint64
	Reason Reason
	// RetryAfter hints when to retry: the predicted time until the job would be answered, or
	// starvationTimeout if late jobs are being bypassed; 0 means unknown.
	RetryAfter time.Duration
}

// compareJobs orders jobs by urgency, then by target latency: an overloaded server serves more
// callers by running short jobs, whose answers are expected soon, than by running long ones.
func compareJobs(a, b Job) int {
	return cmp.Or(compareUrgency(a, b), cmp.Compare(a.orderingLatency(), b.orderingLatency()))
}

func (j Job) orderingLatency() time.Duration {
	if j.TargetLatency == 0 {
		return math.MaxInt64
	}
	return j.TargetLatency
}

// compareUrgency puts jobs of open transactions first, then lower priority numbers.
func compareUrgency(a, b Job) int {
	if a.Pinned != b.Pinned {
		if a.Pinned {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// String returns the reason as a name for metrics.
func (r Reason) String() string {
	return [...]string{"no-server", "deadline", "queue-full", "abandoned"}[r]
}
