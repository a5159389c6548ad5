// Package coord is the library of coordination algorithms that the daemons are built from.
//
// Decisions are made by deterministic code without sockets, clocks, goroutines or global random
// numbers: state machines that take the time and an event and return plain values, and pure
// functions. Tests and simulations drive them with their own clock. Packages clock and settings are
// the exceptions: they read the system clock and files.
//
// Replication and leadership of the control VMs:
//
//	raft       replicated log of the control VMs
//	roster     which control VMs vote
//	state      replicated state: configuration versions, primaries, owners and servers
//	leader     soft state of the control leader: members, owners, leases and failovers
//	config     the operators' objects and their validation
//	quota      usage caps of workspaces, divided among owners
//	place      assignment of groups to entry VMs
//	lease      leases on groups and shares of their connections
//	directory  what every entry VM knows of groups and owners
//	promote    when to change a primary, and to which slot
//
// Requests at the entry VMs:
//
//	workspace  which workspace a caller's key stands for, and how long the keys are relied on
//	session    log positions, and the floors that a session's reads have to reach
//	route      which server may run a read
//	statement  classification of SQL statements for routing
//	setup      preparation of a pooled connection for a session
//	retry      limit on the extra load that retries cause
//	cancel     keys with which a statement is canceled through any entry VM
//
// Groups with configured slots (entry/owner):
//
//	admit      which request runs next, and which is rejected
//	watch      health and log position of a primary, from the owner's polls
//
// Announced groups (entry/runner):
//
//	dispatch   which server runs a waiting statement
//	capacity   how many statements a server handles well, learned from its answers
//	health     whether a primary is usable, from its responses to statements
//
// Support:
//
//	chart      state charts read from files
//	budget     memory that all clients of a process share
//	regions    whether failure domains are in several regions
//	clock      the time by which leases and freshness expire
//	settings   the daemons' settings files
package coord
