package retry

const (
	requestsPerRetry = 10
	maxTokens        = 20 * requestsPerRetry
)

// Budget is a token budget that allows one retry per ten requests, with a small reserve for bursts.
// The zero value is full. It is not safe for concurrent use.
type Budget struct {
	spent int
}

// RecordRequest counts a request that is not a retry.
func (b *Budget) RecordRequest() {
	if b.spent > 0 {
		b.spent--
	}
}

// AllowRetry reports whether the budget has room for a retry and, if so, charges it.
func (b *Budget) AllowRetry() bool {
	if b.spent+requestsPerRetry > maxTokens {
		return false
	}
	b.spent += requestsPerRetry
	return true
}
