// Package owner executes units of work on the groups that this entry VM owns.
//
// An owner holds a group's backend connections within its lease, monitors the primary and routes
// reads. It acknowledges a write only when a majority of the group's slots has synced it and the
// lease for the primary's term is still valid. Owner.Serve executes the units of work of one stream:
//
//	o := &owner.Owner{VM: "e1", View: view, RequestRenewal: client.RequestRenewal}
//	go o.Run(ctx)
//	o.Serve(ctx, open, stream)
package owner
