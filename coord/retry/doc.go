// Package retry bounds the extra load that retries may cause.
//
//	budget := &retry.Budget{}
//	budget.RecordRequest()
//	if budget.AllowRetry() { ... }
package retry
