package conns

import "time"

const (
	// retryInterval is how long a connection that gives way takes to close.
	retryInterval = 5 * time.Millisecond
	retries       = 200
	// soonRetries is for answers that are in memory while they wait: long enough for others to give way.
	soonRetries = 10
)

// Retry calls take until it succeeds, for a second at most: clients that give way need a moment to do so, and in the
// meantime the connection that asks is not read from.
func Retry(take func() bool) bool { return retry(retries, take, func() bool { return false }) }

// retry gives up at once when the account that take belongs to is gone.
func retry(times int, take, gone func() bool) bool {
	for range times {
		if take() {
			return true
		}
		if gone() {
			return false
		}
		time.Sleep(retryInterval)
	}
	return take()
}
