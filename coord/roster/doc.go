// Package roster decides which control VMs are voters.
//
// The number of voters is not configured. A VM that joins is a learner until it has nearly caught
// up with the log, and then becomes a voter. An unresponsive voter is removed if enough voters
// remain to tolerate further losses, at least three; when it returns it joins again as a learner.
// NextMembership returns one change at a time:
//
//	next, change := roster.NextMembership(members, func(key string) roster.Progress { ... })
//	if next != nil {
//		node.ProposeMembership(next)
//	}
package roster
