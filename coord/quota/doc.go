// Package quota decides which operations of a workspace may start under its usage cap, exactly over
// all owners and without a message for each operation.
//
// The control leader's Allocator keeps a pool of operations for each workspace and grants parts of it
// to owners in the answers to their renewals; an owner's Holder starts operations from what it holds:
//
//	decision := holder.Admit(now, quota.Operation{ID: 1, Workspace: "atlas", Until: until})
//	usage, partial := holder.Report(now)
//	allowances := allocator.Renew(now, quota.Renewal{VM: vm, Leased: true, Usage: usage, Partial: partial})
//	decided := holder.Apply(now, sentAt, lease, true, allowances)
//
// For each workspace, the operations in the pool and those that owners may hold are together at most
// Cap.Limit, and the pool refills at Cap.Rate. In any window, the operations that start are therefore
// at most Cap.Limit plus the rate times the window's length.
package quota
