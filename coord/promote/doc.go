// Package promote implements the failover state machine of a database group: it decides when the
// group's primary has failed and which server replaces it.
//
// A Group moves through the states of chart.json. In steady it collects the observations of the
// owners. When a majority of them, from at least two failure domains if they span as many, cannot
// use the primary, it moves to checking: it queries the servers itself, and a primary that is healthy
// by its own status and whose replicas follow stays. Otherwise it moves to fencing, where it waits
// until no owner can acknowledge a write of the old term. In choosing it queries every slot again and
// takes the highest (term, offset) of a majority of slots, which by then holds every acknowledged
// write. The control VMs record the choice before it is carried out in ordering.
//
// A primary that is about to stop, or that is overloaded while a replica can take over, is replaced
// through closing, in which owners only finish what they began on it.
//
//	g := &promote.Group{Name: "ledger-1", Slots: []string{"a", "b", "c"}}
//	g.ApplyRecordedPrimary(now, primary)
//	g.Observe(now, observation)
//	actions := g.Tick(now, fenced)
package promote
