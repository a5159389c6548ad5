package promote

import (
	"slices"
	"time"
)

// Urgency orders the status queries of all groups; a lower value is more urgent.
type Urgency int

// The urgencies of a status query.
const (
	// Check is the query of a suspected primary. It does not wait, since the primary has only
	// checkTimeout to answer. A group makes one each time that it is suspected.
	Check Urgency = iota
	// Candidate is a query on which a change of primary waits.
	Candidate
	// Routine is any other query.
	Routine
	urgencies
)

const (
	// DefaultQuestionRate is the number of status queries a second of all groups together. With a new
	// connection each, which costs about 0.3 ms, that is 15% of a control VM's processor.
	DefaultQuestionRate = 500
	// questionBurst is how many queries may be sent at once.
	questionBurst = 50
	// reservedBurst is the part of questionBurst that routine queries leave to others.
	reservedBurst = 25
	// maxQuestionDebt limits how long the queries of suspected primaries can hold up all others.
	maxQuestionDebt = 100
	// questionTTL is how long a query that no group has repeated waits at most; groups that still need
	// an answer repeat theirs at least each queryInterval.
	questionTTL = 2 * queryInterval
)

// Question is a status query of one server.
type Question struct {
	Group, Slot string
}

type waitingQuestion struct {
	urgency  Urgency
	wantedAt time.Time
}

// Questions decides when the status queries of all groups are sent. Their total rate is bounded, however
// many groups lack a primary; among queries of the same urgency, the one that has waited longest is next.
// The zero value is ready to use.
type Questions struct {
	// Rate is the number of queries a second; 0 means DefaultQuestionRate.
	Rate float64

	waiting  map[Question]waitingQuestion
	queues   [urgencies][]Question
	inFlight map[Question]bool
	tokens   float64
	filledAt time.Time
}

// Add has a server queried, unless it is being queried. A query that waits already keeps its place, or
// takes one among the more urgent ones.
func (q *Questions) Add(now time.Time, question Question, urgency Urgency) {
	if q.waiting == nil {
		q.waiting = map[Question]waitingQuestion{}
		q.inFlight = map[Question]bool{}
	}
	if q.inFlight[question] {
		return
	}
	w, known := q.waiting[question]
	if known && w.urgency <= urgency {
		q.waiting[question] = waitingQuestion{w.urgency, now}
		return
	}
	q.waiting[question] = waitingQuestion{urgency, now}
	q.queues[urgency] = append(q.queues[urgency], question)
}

// Take returns the queries to send now. Each is in flight until Done.
func (q *Questions) Take(now time.Time) []Question {
	q.refill(now)
	var taken []Question
	for urgency := range urgencies {
		queue := q.queues[urgency]
		for len(queue) > 0 && q.tokens >= minTokens(urgency) {
			question := queue[0]
			queue = queue[1:]
			w, ok := q.waiting[question]
			if !ok || w.urgency != urgency {
				continue // it was sent, or moved to another queue
			}
			delete(q.waiting, question)
			if now.Sub(w.wantedAt) > questionTTL {
				continue
			}
			q.inFlight[question] = true
			q.tokens--
			taken = append(taken, question)
		}
		q.queues[urgency] = slices.Clone(queue)
	}
	return taken
}

// minTokens returns how many tokens must be left for a query to be sent.
func minTokens(urgency Urgency) float64 {
	switch urgency {
	case Check:
		return -maxQuestionDebt
	case Candidate:
		return 1
	}
	return 1 + reservedBurst
}

func (q *Questions) refill(now time.Time) {
	rate := q.Rate
	if rate == 0 {
		rate = DefaultQuestionRate
	}
	if q.filledAt.IsZero() {
		q.tokens = questionBurst
	} else {
		q.tokens = min(questionBurst, q.tokens+now.Sub(q.filledAt).Seconds()*rate)
	}
	q.filledAt = now
}

// Done ends a query that was taken, whether or not the server has answered.
func (q *Questions) Done(question Question) { delete(q.inFlight, question) }

// Urgency returns the urgency of a status query that the group makes in its current state.
func (g *Group) Urgency(now time.Time, slot string) Urgency {
	switch {
	case g.State() == Checking && slot == g.primary.Slot:
		return Check
	case g.State() != Steady || g.primary.Term > 0 && slot == g.primary.Slot && g.reportedUnusable(now):
		return Candidate
	}
	return Routine
}
