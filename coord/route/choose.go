package route

import (
	"cmp"
	"slices"
	"time"

	"trefoilcourse/coord/session"
)

const (
	// reportLife is how old a position report may be for its server to be chosen.
	reportLife = 2 * time.Second
	// remoteCost is what a read gains by staying in the owner's failure domain.
	remoteCost = 3 * time.Millisecond
	// busyCost is what a read is expected to wait for each other one on the same server.
	busyCost = 500 * time.Microsecond
	// minPrediction is the least wait predicted for a server that is behind.
	minPrediction = time.Millisecond
)

// Server is what an owner knows of a replica.
type Server struct {
	Slot          string
	FailureDomain string
	// Replayed is the last reported position, Reported when the report was asked for.
	Replayed session.Position
	ReportedAt time.Time
	// Lag is the usual time between a commit and its replay here.
	Lag time.Duration
	// InFlight is the number of requests under way on the server.
	InFlight int
	// Leaving servers and those of another term get no reads.
	Leaving bool
}

// Request is what a read asks of a server.
type Request struct {
	// Floor is the least position that the server must have replayed.
	Floor session.Position
	// Term is the group's term.
	Term uint64
	// FailureDomain is the owner's.
	FailureDomain string
	// MaxWait is how long the read may wait for a replica to catch up.
	MaxWait time.Duration
}

// Candidate is a replica with the time after which it is predicted to be usable.
type Candidate struct {
	Slot string
	PredictedWait time.Duration
	cost time.Duration
}

// RankReplicas ranks the replicas that can serve a read, best first; none means the primary. A floor
// of a later term than the group is known to be in is one that no replica is known to reach.
func RankReplicas(now time.Time, seen *PositionHistory, servers []Server, r Request) []Candidate {
	if r.Term < r.Floor.Term {
		return nil
	}
	var choices []Candidate
	for _, s := range servers {
		if s.Leaving || s.Replayed.Term != r.Term || now.Sub(s.ReportedAt) > reportLife {
			continue
		}
		wait := PredictWait(now, seen, s, r.Floor)
		if wait > r.MaxWait {
			continue
		}
		cost := wait + time.Duration(s.InFlight)*busyCost
		if s.FailureDomain != r.FailureDomain {
			cost += remoteCost
		}
		choices = append(choices, Candidate{Slot: s.Slot, PredictedWait: wait, cost: cost})
	}
	slices.SortFunc(choices, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Slot, b.Slot))
	})
	return choices
}

// PredictWait returns how long a server will take to replay floor, from when the primary reached
// it and how far behind the server usually is.
func PredictWait(now time.Time, seen *PositionHistory, s Server, floor session.Position) time.Duration {
	if !s.Replayed.Less(floor) {
		return 0
	}
	reached, ok := seen.reachedAt(floor)
	if !ok {
		reached = now
	}
	return max(minPrediction, reached.Add(s.Lag).Sub(now))
}
