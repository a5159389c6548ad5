// Package roster decides which control VMs vote.
//
// Their number is not configured: a VM that asks to join is a learner until it has nearly the
// whole log, and then votes. A voter that has been silent for long is left out while at least
// three remain, so that the loss of another one is borne; when it comes back it joins again.
// NextMembership returns one change at a time:
//
//	next, change := roster.NextMembership(members, func(key string) roster.Progress { ... })
//	if next != nil {
//		node.ProposeMembership(next)
//	}
package roster
