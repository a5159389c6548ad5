// Package lease grants entry VMs leases on a group: the right to acknowledge writes in a term and
// to keep a number of connections to the group open.
//
// The control leader keeps a Table and counts a lease from the time it grants it. The entry VM
// keeps a Holder and counts the same lease from the time it sent the request, so the lease always
// expires at the holder first. A new leader's Table is in recovery until every lease that an
// earlier leader may have granted has been reported or has expired: it confirms what holders
// report and grants nothing beyond that.
//
//	table := &lease.Table{Duration: 2 * time.Second}
//	table.StartTerm(now)
//	table.SetGroup("ledger-1", lease.Group{Term: 4, Limit: 45, Owners: owners})
//	grant := table.Renew(now, "e1", "ledger-1", lease.Holding{Term: 4, Connections: 15})
package lease
