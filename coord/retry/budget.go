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

// RecordRequest takes note of a request that is not a retry.
func (b *Budget) RecordRequest() {
	if b.spent > 0 {
		b.spent--
	}
}

// AllowRetry reports whether a retry is within the budget and counts it.
func (b *Budget) AllowRetry() bool {
	if b.spent+requestsPerRetry > maxTokens {
		return false
	}
	b.spent += requestsPerRetry
	return true
}
