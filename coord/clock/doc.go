// Package clock provides the time by which leases and freshness expire.
//
// The time of day may jump, and the monotonic clock stops while a VM is suspended, so that a lease
// measured by it would outlive the suspension. Now never jumps and includes the time spent
// suspended:
//
//	until := clock.Now().Add(lease)
//	held := clock.Now().Before(until)
//
// Its times may only be compared with one another. Deadlines of connections and contexts use the
// time of the standard library.
package clock
