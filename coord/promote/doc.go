// Package promote decides when a group's primary has failed and which server follows it.
//
// A Group moves through the states of chart.json. In steady it listens to the owners. When a
// majority of them, from at least two failure domains if they span as many, cannot use the
// primary, it is checking: it asks the servers itself, and a primary that answers well and
// whose replicas follow is left in place. Otherwise it is fencing: it waits until no owner can
// acknowledge a write of the old term. Then, choosing, it asks every slot again and takes the
// highest (term, offset) of a majority of slots, which by then holds every acknowledged write.
// The choice is recorded by the control VMs before it is, ordering, carried out.
//
//	g := &promote.Group{Name: "ledger-1", Slots: []string{"a", "b", "c"}}
//	g.Recorded(now, primary)
//	g.Observe(now, observation)
//	actions := g.Tick(now, fenced)
package promote
