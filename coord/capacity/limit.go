package capacity

import (
	"math"
	"time"
)

const (
	// trialInterval is the least time between two trials, and trialPause that in lengths of a trial. It
	// grows by trialGrowth up to maxTrialInterval until the service time or the limit changes, since a trial
	// takes a quarter of the throughput of a server with four slots.
	trialInterval    = 400 * time.Millisecond
	maxTrialInterval = 12800 * time.Millisecond
	trialPause       = 8
	trialGrowth      = 4
	// raiseInterval is the least time between two raises of a limit, each by one rung, so that a limit
	// that ends is tried with few statements first.
	raiseInterval = 400 * time.Millisecond
	// trialStatements is the length of a trial in service times.
	trialStatements = 5
	minTrial        = 30 * time.Millisecond
	maxTrial        = 600 * time.Millisecond
	// driftLimit is the change of the logarithm of the service time at the same concurrency after
	// which earlier comparisons do not count: it is more than samples differ by chance.
	driftLimit     = 0.7
	minDriftWeight = 3
	maxDriftWeight = 6
)

// running returns the number of statements that run now.
func (s *server) running() int {
	if len(s.changes) == 0 {
		return 0
	}
	return s.changes[len(s.changes)-1].running
}

// concurrencySince returns the mean number of running statements from a time until now.
func (s *server) concurrencySince(now, since time.Time) float64 {
	var total time.Duration
	end := now
	for i := len(s.changes) - 1; i >= 0 && end.After(since); i-- {
		begin := s.changes[i].at
		if begin.Before(since) || i == 0 {
			begin = since
		}
		if end.After(begin) {
			total += end.Sub(begin) * time.Duration(s.changes[i].running)
			end = begin
		}
	}
	if !now.After(since) {
		return 1
	}
	return max(1, float64(total)/float64(now.Sub(since)))
}

// comparison is the rise of the logarithm of the service time from one rung to the next. It has two
// parts, by which of the two service times is the later one, and their mean is the result: a
// server that becomes slow at any load raises one part as much as it lowers the other.
type comparison struct {
	higherLater, lowerLater average
}

func (c *comparison) decay(now time.Time) {
	c.higherLater.decay(now, stepRetention)
	c.lowerLater.decay(now, stepRetention)
}

// known reports whether there are enough samples of both orders.
func (c *comparison) known() bool {
	return min(c.higherLater.weight, c.lowerLater.weight) >= minStepWeight
}

// contradictory reports whether the two orders differ so much that the server's speed must have changed in
// between.
func (c *comparison) contradictory() bool {
	return c.known() && math.Abs(c.higherLater.mean()-c.lowerLater.mean()) > driftLimit
}

// lowerBound returns the least rise that the samples allow for.
func (c *comparison) lowerBound() float64 {
	variance := (c.higherLater.variance(priorVariance)/c.higherLater.weight + c.lowerLater.variance(priorVariance)/c.lowerLater.weight) / 4
	return (c.higherLater.mean()+c.lowerLater.mean())/2 - confidence*math.Sqrt(variance)
}

// compare compares a service time with the recent ones of its kind at the rungs next to its own.
func (s *server) compare(now time.Time, k Kind, concurrency, sample float64) {
	rung := rungOf(concurrency)
	levels := s.levels[k]
	if levels == nil {
		levels = &[len(rungs)]average{}
		s.levels[k] = levels
	}
	weight := clarity(concurrency, rung)
	s.drift.compare(now, sample, weight, 1, &levels[rung], levelRetention, maxDriftWeight)
	if s.drift.weight >= minDriftWeight && math.Abs(s.drift.mean()) > driftLimit {
		s.forgetComparisons(now)
		return
	}
	if rung > 0 {
		s.steps[rung-1].higherLater.compare(now, sample, weight, 1, &levels[rung-1], stepRetention, maxStepWeight)
	}
	if rung+1 < len(rungs) {
		s.steps[rung].lowerLater.compare(now, sample, weight, -1, &levels[rung+1], stepRetention, maxStepWeight)
	}
	levels[rung].decay(now, levelRetention)
	levels[rung].add(sample, weight, maxKindWeight)
}

// forgetComparisons discards what was compared before the server's speed changed.
func (s *server) forgetComparisons(now time.Time) {
	s.drift = average{}
	s.levels = map[Kind]*[len(rungs)]average{}
	s.steps = [len(rungs)]comparison{}
	s.trial.interval, s.trial.next = 0, earlier(s.trial.next, now.Add(minTrial))
}

// compare adds the difference of a sample to the mean of earlier ones at another rung or the same.
func (a *average) compare(now time.Time, sample, weight, sign float64, earlier *average, retention time.Duration, limit float64) {
	earlier.decay(now, levelRetention)
	if earlier.weight < minKindWeight {
		return
	}
	a.decay(now, retention)
	rise := sign * (sample - earlier.mean())
	a.add(min(maxStep, max(-maxStep, rise)), weight*earlier.weight/(1+earlier.weight), limit)
}

// blocked reports whether statements become so much slower from rung i to the next that it is not worth
// running more.
func (s *server) blocked(now time.Time, i int) bool {
	step := &s.steps[i]
	step.decay(now)
	allowed := elasticity * math.Log(float64(rungs[i+1])/float64(rungs[i]))
	return step.known() && step.lowerBound() > allowed
}

// updateLimit sets the limit to the lowest rung above which statements become too slow.
func (s *server) updateLimit(now time.Time) {
	limit := s.Concurrency
	for i := 0; i < len(rungs)-1 && rungs[i] < s.Concurrency; i++ {
		if s.blocked(now, i) {
			limit = rungs[i]
			break
		}
	}
	switch {
	case s.learned == 0:
		s.learned = limit
	case limit < s.learned:
		s.learned = limit
		s.raiseAt = now.Add(raiseInterval)
		// One rung less may be better still.
		s.trial.interval, s.trial.next = 0, now.Add(minTrial)
	case limit > s.learned && !now.Before(s.raiseAt):
		s.learned = min(limit, rungs[rungBelow(s.learned+1)+1])
		s.raiseAt = now.Add(raiseInterval)
		s.trial.interval, s.trial.next = 0, now.Add(raiseInterval/2)
	}
	limit = s.learned
	if below := rungBelow(limit); below >= 0 && s.trial.active(now) {
		limit = rungs[below]
	}
	s.limit = limit
}

// trial runs a full server with less concurrency for a short time: while it always runs as many statements as it may,
// nothing shows whether it would be faster with fewer.
type trial struct {
	until, next time.Time
	interval    time.Duration
	// level is the recent service time as a logarithm.
	level average
}

func (t *trial) active(now time.Time) bool { return now.Before(t.until) }

// observe begins a trial if the server is full and the step to its limit has not been compared.
func (t *trial) observe(now time.Time, s *server, serviceTime time.Duration) {
	t.level.decay(now, levelRetention)
	t.level.add(math.Log(serviceTime.Seconds()), 1, maxKindWeight)
	below := rungBelow(s.limit)
	if below < 0 || s.running() < s.limit || t.active(now) {
		return
	}
	step := &s.steps[below]
	step.decay(now)
	if step.contradictory() {
		*step = comparison{}
		t.interval, t.next = 0, earlier(t.next, now.Add(trialInterval))
	}
	if step.known() || now.Before(t.next) {
		return
	}
	length := min(maxTrial, max(minTrial, trialStatements*seconds(t.level.mean())))
	t.interval = min(maxTrialInterval, max(trialInterval, trialPause*length, trialGrowth*t.interval))
	t.until = now.Add(length)
	t.next = t.until.Add(t.interval)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
