// Package control implements the control VM daemon.
//
// A Server replicates the log with its peers. While it is the leader, it also answers entry VMs and
// operators and orders backend servers to change the primary:
//
//	server := &control.Server{Settings: settings}
//	err := server.Run(ctx)
package control
