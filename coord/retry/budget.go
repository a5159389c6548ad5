package retry

const (
	requestsPerRetry = 10
	maxTokens        = 20 * requestsPerRetry
)

// Budget lets one request in ten be retried, with a small reserve for bursts; the zero value is
// full. It is not safe for concurrent use.
type Budget struct {
	spent int
}

// Request takes note of a request that is not a retry.
func (b *Budget) Request() {
	if b.spent > 0 {
		b.spent--
	}
}

// Take reports whether a retry is within the budget and counts it.
func (b *Budget) Take() bool {
	if b.spent+requestsPerRetry > maxTokens {
		return false
	}
	b.spent += requestsPerRetry
	return true
}
