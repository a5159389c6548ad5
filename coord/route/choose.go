package route

import (
	"cmp"
	"slices"
	"time"

	"trefoilcourse/coord/session"
)

const (
	// reportTTL is the maximum age of a position report for its server to be eligible.
	reportTTL = 2 * time.Second
	// crossDomainCost is added for a server outside the owner's failure domain.
	crossDomainCost = 3 * time.Millisecond
	// inFlightCost is the expected wait for each request in flight on the server.
	inFlightCost = 500 * time.Microsecond
	// minPredictedWait is the least wait predicted for a server that has not replayed the floor.
	minPredictedWait = time.Millisecond
)

// Server is an owner's view of a replica.
type Server struct {
	Slot          string
	FailureDomain string
	// Replayed is the last reported replay position; ReportedAt is when the report was requested.
	Replayed   session.Position
	ReportedAt time.Time
	// Lag is the usual time between a commit and its replay on this server.
	Lag time.Duration
	// InFlight is the number of requests in flight on the server.
	InFlight int
	// Leaving is set for a server that is about to stop; it gets no reads.
	Leaving bool
}

// Request holds the requirements of a read.
type Request struct {
	// Floor is the lowest position that the server must have replayed.
	Floor session.Position
	// Term is the group's current term; servers of another term get no reads.
	Term uint64
	// FailureDomain is the owner's failure domain.
	FailureDomain string
	// MaxWait is how long the read may wait for a replica to reach the floor.
	MaxWait time.Duration
}

// Candidate is a replica that can serve a read after the predicted wait.
type Candidate struct {
	Slot          string
	PredictedWait time.Duration
	cost          time.Duration
}

// RankReplicas returns the replicas that can serve a read, lowest cost first; if there are none,
// the primary must serve it. No replica is known to reach a floor of a later term than r.Term.
func RankReplicas(now time.Time, history *PositionHistory, servers []Server, r Request) []Candidate {
	if r.Term < r.Floor.Term {
		return nil
	}
	var candidates []Candidate
	for _, s := range servers {
		if s.Leaving || s.Replayed.Term != r.Term || now.Sub(s.ReportedAt) > reportTTL {
			continue
		}
		wait := PredictWait(now, history, s, r.Floor)
		if wait > r.MaxWait {
			continue
		}
		cost := wait + time.Duration(s.InFlight)*inFlightCost
		if s.FailureDomain != r.FailureDomain {
			cost += crossDomainCost
		}
		candidates = append(candidates, Candidate{Slot: s.Slot, PredictedWait: wait, cost: cost})
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Slot, b.Slot))
	})
	return candidates
}

// PredictWait returns how long a server is expected to take to replay floor, from the time at which
// the primary reached it and the server's usual lag.
func PredictWait(now time.Time, history *PositionHistory, s Server, floor session.Position) time.Duration {
	if !s.Replayed.Less(floor) {
		return 0
	}
	reached, ok := history.reachedAt(floor)
	if !ok {
		reached = now
	}
	return max(minPredictedWait, reached.Add(s.Lag).Sub(now))
}
