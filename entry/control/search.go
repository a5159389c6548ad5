package control

import (
	"math/rand/v2"
	"time"
)

const (
	// quickSearches is how many attempts to find a leader come one interval apart; an election lasts
	// no longer.
	quickSearches = 5
	// maxSearchInterval is the longest time between two attempts.
	maxSearchInterval = 2 * time.Second
)

// searchTimer says when to look for the control leader again. Without it, the attempts of all VMs
// would keep a control VM busy that has just started to lead.
type searchTimer struct {
	interval time.Duration
	failures int
}

// found ends a search; interval is what the leader asks for the next one, 0 if it does not say.
func (t *searchTimer) found(interval time.Duration) {
	t.failures = 0
	t.interval = interval
}

// patience returns how long to wait for other responses in this attempt.
func (t *searchTimer) patience() time.Duration {
	wait := leaderDiscoveryTimeout
	for range min(t.failures, quickSearches) {
		wait = min(2*wait, renewCallTimeout)
	}
	return wait
}

// next returns how long to wait after a failed attempt, with a random part so that VMs that lost the
// leader together do not look for it together.
func (t *searchTimer) next() time.Duration {
	t.failures++
	wait := max(t.interval, 2*minRenewInterval)
	for range max(0, t.failures-quickSearches) {
		wait = min(2*wait, maxSearchInterval)
	}
	return wait/2 + rand.N(wait/2+1)
}
