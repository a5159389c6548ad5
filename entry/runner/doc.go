// Package runner runs statements on the backend servers of announced groups, as an owner.
//
// An owner holds connections within its lease. It runs a write, and a read that must see every
// acknowledged write, on the primary, and gives the answer out only if the lease for the recorded
// primary still runs then; any other read goes to a server whose log has the floor of the read.
// A Runner is given requests by package sessions, on the same VM or over a link:
//
//	r := &runner.Runner{VM: "e1", View: view, Servers: dialer, Poke: client.Poke}
//	go r.Run(ctx)
//	answer := r.Execute(ctx, request)
package runner
