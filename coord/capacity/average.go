package capacity

import (
	"math"
	"time"
)

// average is a mean whose samples lose weight with their age.
type average struct {
	sum, squares, weight float64
	at                   time.Time
}

// decay reduces the weight of the samples to 1/e for each retention period.
func (a *average) decay(now time.Time, retention time.Duration) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(retention))
		a.scale(factor)
		a.at = now
	}
}

func (a *average) scale(factor float64) {
	a.sum *= factor
	a.squares *= factor
	a.weight *= factor
}

// add adds a sample; older ones lose weight if the total exceeds limit.
func (a *average) add(sample, weight, limit float64) {
	a.sum += sample * weight
	a.squares += sample * sample * weight
	a.weight += weight
	if a.weight > limit {
		a.scale(limit / a.weight)
	}
}

// variance returns the variance of the samples together with that of a prior of weight 1.
func (a *average) variance(prior float64) float64 {
	return (max(0, a.squares-a.sum*a.mean()) + prior) / (a.weight + 1)
}

// mean returns the mean of the samples, or 0 without any.
func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// minClarity is the least weight of a service time for its concurrency.
const minClarity = 0.1

// rungs are the concurrencies that are told apart: adjacent ones differ by a quarter or more, since
// smaller differences of service time are not visible in the few samples of some seconds.
var rungs = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256}

// rungOf returns the index of the rung that is nearest to a concurrency by ratio.
func rungOf(concurrency float64) int {
	for i := range len(rungs) - 1 {
		if concurrency*concurrency < float64(rungs[i]*rungs[i+1]) {
			return i
		}
	}
	return len(rungs) - 1
}

// clarity returns 1 for a concurrency of a rung, and less for one that is between it and the next.
func clarity(concurrency float64, rung int) float64 {
	next := rung + 1
	if concurrency < float64(rungs[rung]) {
		next = rung - 1
	}
	if next < 0 || next == len(rungs) {
		return 1
	}
	distance := (concurrency - float64(rungs[rung])) / float64(rungs[next]-rungs[rung])
	return max(minClarity, 1-2*distance)
}

// rungBelow returns the index of the highest rung that is lower than a concurrency, or -1.
func rungBelow(concurrency int) int {
	below := -1
	for i, r := range rungs {
		if r < concurrency {
			below = i
		}
	}
	return below
}
