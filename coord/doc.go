// Package coord is the library of coordination parts that the daemons are built from.
//
// Every decision of the proxy is in one of its packages as a deterministic state machine
// without sockets, clocks, goroutines or global random numbers. Each takes the time and an
// event and returns plain values, so that another program can drive it with its own clock.
//
//	raft     agreement among the control VMs
//	state    the replicated state: configuration versions and primaries
//	config   the operators' objects and their checks
//	place    which entry VMs own a group
//	lease    leases on groups and shares of their connections
//	promote  when and to what a primary is changed
//	route    which server a read may use
//	admit    which request runs next, and which is refused
//	chart    state charts read from files
package coord
