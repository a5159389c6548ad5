// Package entry implements the daemon that runs on each entry VM, between callers and backend servers.
//
// Its Server accepts callers, other entry VMs and backend servers' announcements, renews its
// leases with the control VMs, and owns the groups assigned to it:
//
//	server := &entry.Server{Settings: settings}
//	err := server.Run(ctx)
//
// When ctx ends the server drains: its health check fails, idle callers are told to connect to
// another VM, units of work finish, and then Run returns.
package entry
