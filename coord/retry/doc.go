// Package retry limits how much work retries may add.
//
//	budget := &retry.Budget{}
//	budget.Request()
//	if budget.Take() { ... }
package retry
