// Package control is the daemon on the few VMs that have a disk.
//
// Its Server keeps the replicated log with its peers and, while it leads, answers entry VMs and
// operators and orders changes of primary:
//
//	server := &control.Server{Settings: settings}
//	err := server.Run(ctx)
package control
