// Package coord is the library of coordination algorithms that the daemons are built from.
//
// Every decision of the proxy is made in one of its packages by a deterministic state machine
// without sockets, clocks, goroutines or global random numbers. Each takes the time and an event
// and returns plain values, so that tests and simulations can drive it with their own clock.
//
//	raft     replicated log of the control VMs
//	state    replicated state: configuration versions and primaries
//	config   the operators' objects and their validation
//	place    assignment of groups to entry VMs
//	lease    leases on groups and shares of their connections
//	promote  when to change a primary, and to which slot
//	route    which server may run a read
//	admit    which request runs next, and which is rejected
//	chart    state charts read from files
package coord
