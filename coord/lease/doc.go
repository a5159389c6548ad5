// Package lease grants entry VMs the right to use a group: to acknowledge writes in a term, and
// to keep a number of its connections open.
//
// The control leader keeps a Table and counts a lease from when it granted it. The entry VM
// keeps a Holder and counts the same lease from when it asked, so that the holder's view always
// ends first. A new leader's Table adopts what holders report until every lease that an earlier
// leader may have granted has surely ended, and grants nothing beyond that before.
//
//	table := &lease.Table{Duration: 2 * time.Second}
//	table.Lead(now)
//	table.Set("ledger-1", lease.Group{Term: 4, Limit: 45, Owners: owners})
//	grant := table.Renew(now, "e1", "ledger-1", lease.Holding{Term: 4, Connections: 15})
package lease
