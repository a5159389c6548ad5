// Package clock tells the time by which leases and freshness expire.
//
// The time of day jumps, and the steady clock stands still while a VM is suspended; a lease that
// was measured by it would outlive the suspension. Now counts the suspension and never jumps:
//
//	until := clock.Now().Add(lease)
//	held := clock.Now().Before(until)
//
// Its times are to be compared with one another only; deadlines of connections and contexts take
// the standard library's.
package clock
