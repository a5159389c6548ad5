// Package leader is the control leader's soft state: which entry VMs and backend servers are
// up, who owns each group, who holds which lease, and which primary is being changed.
//
// A Leader is rebuilt from nothing by each new control leader. Until the leases of an earlier
// leader have ended it keeps what entry VMs report and tells them nothing new about where
// things are, so that a change of leader disturbs nobody:
//
//	l := &leader.Leader{State: machine}
//	l.Lead(now, term)
//	response := l.Renew(now, request)
//	for _, action := range l.Tick(now) { ... }
package leader
