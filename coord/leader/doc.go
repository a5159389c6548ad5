// Package leader holds the control leader's soft state: which entry VMs and backend servers are
// up, which VMs own each group, who holds which lease, and which primaries are being changed.
//
// A Leader starts empty in each control term and is rebuilt from the replicated state and the
// renewals of entry VMs. Until the leases of an earlier leader are known or have expired, it
// confirms what entry VMs report and sends them no directory changes, so that a change of leader
// does not interrupt service:
//
//	l := &leader.Leader{State: machine}
//	l.StartTerm(now, term)
//	response := l.Renew(now, request)
//	for _, action := range l.Tick(now) { ... }
package leader
