// Package owner serves other entry VMs, and its own, as an owner of groups.
//
// An owner holds the group's backend connections within its lease, watches the primary, routes
// reads, and acknowledges a write only when a majority of the group's slots has it and the lease
// for the primary's term still runs. Owner.Serve runs the units of work of one stream:
//
//	o := &owner.Owner{VM: "e1", View: view, Poke: client.Poke}
//	go o.Run(ctx)
//	o.Serve(ctx, open, stream)
package owner
