// Package runner runs statements on the backend servers of announced groups that this entry VM owns.
//
// An owner may open connections while it holds the lease on a group. Writes, and reads that must
// see every acknowledged write, run on the primary, and their answers are returned only if the
// lease for the recorded primary is still valid then. Any other read runs on a server whose log
// has reached the read's floor. Package sessions passes requests to a Runner, on the same VM or
// over a link:
//
//	r := &runner.Runner{VM: "e1", View: view, Connector: dialer, RequestRenewal: client.RequestRenewal}
//	go r.Run(ctx)
//	answer := r.Execute(ctx, request)
package runner
