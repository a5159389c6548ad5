package capacity

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// levelRetention is how long a service time is compared with those at the next concurrency. A
	// server that becomes slow at any load is misjudged for this long at most.
	levelRetention = 400 * time.Millisecond
	// stepRetention is how long a comparison counts. With maxStepWeight and minStepWeight, which are
	// for each order of a comparison, a limit that is not confirmed ends within 3 s.
	stepRetention = 1400 * time.Millisecond
	maxStepWeight = 6
	minStepWeight = 0.75
	// minKindWeight is the least weight of service times of one kind that others are compared with.
	minKindWeight = 0.5
	maxKindWeight = 16
	// maxStep bounds a comparison of logarithms, so that one statement with much work does not decide.
	maxStep = 1.4
	// elasticity is how much of a rise in concurrency may be lost to longer service times: 0.5
	// maximizes throughput divided by latency (Kleinrock's power); 1 would be the maximal throughput.
	elasticity = 0.6
	// confidence is the number of standard errors by which a step must exceed the elasticity, and
	// priorVariance the variance of a comparison that is assumed before there are samples.
	confidence    = 1.15
	priorVariance = 0.5
	// speedRetention is how long a server's speed counts without samples, and speedPrior the weight
	// of the assumption that it is as fast as the group.
	speedRetention = 1500 * time.Millisecond
	speedPrior     = 0.3
	maxSpeedWeight = 8
	// kindRetention is how long the service times of one kind count in the whole group.
	kindRetention = 5 * time.Second
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 32
	// maxChanges bounds the remembered changes of the number of running statements on a server.
	maxChanges = 512
)

// Kind is a kind of work; only service times of one kind are compared.
type Kind struct {
	// Target is the response time that callers expect.
	Target time.Duration
	// Writes is set for statements that write.
	Writes bool
}

// Server is a backend server as it announces itself.
type Server struct {
	Slot string
	// Incarnation changes when the server restarts.
	Incarnation string
	// Concurrency is the announced number of statements that the server runs at a time.
	Concurrency int
}

// Estimator learns the concurrency and the speed of the servers of one group; it is not safe for
// concurrent use.
type Estimator struct {
	servers map[string]*server
	kinds   map[Kind]*average
}

type server struct {
	Server
	// levels are the recent service times of a kind at each rung, as logarithms.
	levels map[Kind]*[len(rungs)]average
	steps  [len(rungs)]comparison
	// drift is the change of the logarithm of the service time at the same rung.
	drift average
	// speed is the logarithm of the server's service time relative to the group's.
	speed average
	// lastSpeed is the last value of speed that rested on samples.
	lastSpeed  float64
	lastSample time.Time
	// changes are the latest changes of the number of running statements.
	changes []change
	// learned is the limit that the comparisons give, and limit the one in use, which is lower during
	// a trial.
	learned, limit int
	// raiseAt is when the limit may be raised again.
	raiseAt time.Time
	trial   trial
}

type change struct {
	at      time.Time
	running int
}

// SetServers replaces the servers. New and restarted ones begin with their announced concurrency.
func (e *Estimator) SetServers(now time.Time, servers []Server) {
	next := map[string]*server{}
	for _, s := range servers {
		s.Concurrency = max(1, s.Concurrency)
		known := e.servers[s.Slot]
		if known == nil || known.Incarnation != s.Incarnation {
			running := 0
			if known != nil {
				running = known.running()
			}
			known = &server{levels: map[Kind]*[len(rungs)]average{}, changes: []change{{now, running}}}
		}
		known.Server = s
		known.updateLimit(now)
		next[s.Slot] = known
	}
	e.servers = next
}

// SetRunning records how many statements run on a server from now on.
func (e *Estimator) SetRunning(now time.Time, slot string, running int) {
	s := e.servers[slot]
	if s == nil {
		return
	}
	s.changes = append(s.changes, change{now, running})
	if len(s.changes) > maxChanges {
		s.changes = slices.Delete(s.changes, 0, maxChanges/2)
	}
}

// Record records that a server has answered a statement of a kind after the given service time. It is
// called before SetRunning reports the statement's end.
func (e *Estimator) Record(now time.Time, slot string, k Kind, serviceTime time.Duration) {
	s := e.servers[slot]
	if s == nil || serviceTime <= 0 {
		return
	}
	group := e.kind(k)
	if group == nil {
		return
	}
	sample := math.Log(serviceTime.Seconds())
	group.decay(now, kindRetention)
	if group.weight > 0 {
		s.speed.decay(now, speedRetention)
		s.speed.add(sample-group.mean(), 1, maxSpeedWeight)
		s.lastSpeed = s.speed.mean()
	}
	group.add(sample, 1, maxKindWeight)
	s.lastSample = now
	s.compare(now, k, s.concurrencySince(now, now.Add(-serviceTime)), sample)
	s.trial.observe(now, s, serviceTime)
	s.updateLimit(now)
}

// Advance applies the passing of time: limits that are not confirmed any more end.
func (e *Estimator) Advance(now time.Time) {
	for _, s := range e.servers {
		s.updateLimit(now)
	}
}

// kind returns the group's service times of a kind, or nil if there are too many kinds.
func (e *Estimator) kind(k Kind) *average {
	if e.kinds[k] == nil {
		if len(e.kinds) >= maxKinds {
			return nil
		}
		if e.kinds == nil {
			e.kinds = map[Kind]*average{}
		}
		e.kinds[k] = &average{}
	}
	return e.kinds[k]
}

// Limit returns the concurrency that a server handles well: at least 1, and at most what it announces.
func (e *Estimator) Limit(slot string) int {
	if s := e.servers[slot]; s != nil {
		return s.limit
	}
	return 1
}

// Predict returns the service time that a server is expected to take for a statement of a kind, and
// false if no server has run one yet. Without recent samples a server is assumed to be as fast as
// the group, but not for statements that would miss their target if it still were as slow as before.
func (e *Estimator) Predict(now time.Time, slot string, k Kind) (time.Duration, bool) {
	s, group := e.servers[slot], e.kinds[k]
	if s == nil || group == nil || group.weight == 0 {
		return 0, false
	}
	usual := group.mean()
	last := seconds(usual + s.lastSpeed)
	if s.running() > 0 || k.Target > 0 && last > k.Target/2 {
		return last, true
	}
	// A copy decays, so that a prediction changes nothing.
	speed := s.speed
	speed.decay(now, speedRetention)
	return seconds(usual + speed.sum/(speed.weight+speedPrior)), true
}

func seconds(logarithm float64) time.Duration {
	return time.Duration(math.Exp(logarithm) * float64(time.Second))
}

// Estimate is what is known of one server, for logs.
type Estimate struct {
	Slot string
	// Learned is the concurrency that the server handles well, Limit the one in use, which is lower
	// during a trial, and Announced the server's own.
	Learned, Limit, Announced int
	// Slowness is the server's service time relative to the group's.
	Slowness float64
	// Age is the time since the last sample; negative without any.
	Age time.Duration
}

// Estimates returns what is known of each server, sorted by slot.
func (e *Estimator) Estimates(now time.Time) []Estimate {
	estimates := make([]Estimate, 0, len(e.servers))
	for slot, s := range e.servers {
		estimate := Estimate{Slot: slot, Learned: s.learned, Limit: s.limit, Announced: s.Concurrency, Slowness: math.Exp(s.lastSpeed), Age: -1}
		if !s.lastSample.IsZero() {
			estimate.Age = now.Sub(s.lastSample)
		}
		estimates = append(estimates, estimate)
	}
	slices.SortFunc(estimates, func(a, b Estimate) int { return strings.Compare(a.Slot, b.Slot) })
	return estimates
}
