// Package entry is the daemon on every entry VM, between callers and backend servers.
//
// Its Server accepts callers, other entry VMs and backend servers' announcements, renews with
// the control VMs, and owns the groups that it is given:
//
//	server := &entry.Server{Settings: settings}
//	err := server.Run(ctx)
//
// When ctx ends the server drains: its health answer turns bad, callers with nothing under way
// are told to connect elsewhere, units of work are finished, and then Run returns.
package entry
