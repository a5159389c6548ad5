package leader

import (
	"slices"
	"time"

	"trefoilcourse/coord/promote"
	"trefoilcourse/wire"
)

const (
	// renewalsPerLease allows for two failed renewals before a lease expires.
	renewalsPerLease = 4
	// maxRenewInterval is the longest time between two renewals of a VM, but for maxRenewalRate.
	maxRenewInterval = 500 * time.Millisecond
	// soonInterval is the time between two renewals of a VM that waits for something.
	soonInterval = 100 * time.Millisecond
	// maxRenewalRate limits how many renewals in a second the leader asks for, of each kind below: a
	// quarter of what half a processor handles.
	maxRenewalRate = 1000
	// maxUrgentRate limits the renewals in a second of the owners whose primaries change. They carry
	// more: findings, grants and the state of the other groups that change.
	maxUrgentRate = 500
)

// scheduleRenewal adds the directory to a response and sets when the VM should renew next.
func (l *Leader) scheduleRenewal(now time.Time, m *member, r *wire.RenewRequest, response *wire.RenewResponse) {
	// Callers wait until the owners of a group learn of its next primary.
	urgent := l.primaryChanging(m)
	interval := max(l.renewInterval(), spread(len(m.owned) == 0, len(l.members)))
	if l.recoveryComplete(now) {
		if wait := l.directory.Answer(now, r, response); wait > 0 {
			interval = min(interval, max(wait, spread(true, len(l.members))))
		}
	} else {
		waiting := l.directory.Owners()
		if len(r.GetHoldings()) == 0 && len(m.owned) == 0 {
			waiting = len(l.members)
		}
		interval = min(interval, max(soonInterval, spread(true, waiting)))
	}
	interval = l.moveInterval(now, m, interval)
	urgentInterval := min(l.renewInterval(), max(soonInterval, time.Duration(l.changingOwners)*time.Second/maxUrgentRate))
	if urgent {
		interval = urgentInterval
	}
	response.Soon = interval < l.renewInterval()
	response.RenewMilliseconds = uint32(interval.Milliseconds())
	response.UrgentMilliseconds = uint32(urgentInterval.Milliseconds())
	response.SearchMilliseconds = uint32(max(soonInterval, spread(true, len(l.members))).Milliseconds())
}

// renewInterval returns the time between two renewals of a VM that holds leases.
func (l *Leader) renewInterval() time.Duration {
	return min(maxRenewInterval, l.LeaseDuration/renewalsPerLease)
}

// spread returns the interval at which a number of VMs renew maxRenewalRate times a second together,
// or 0 for VMs to which it does not apply.
func spread(applies bool, vms int) time.Duration {
	if !applies {
		return 0
	}
	return time.Duration(vms) * time.Second / maxRenewalRate
}

// primaryChanging reports whether the primary of a group that the VM owns is being changed or soon will
// be.
func (l *Leader) primaryChanging(m *member) bool {
	return slices.ContainsFunc(m.owned, func(name string) bool {
		g := l.groups[name]
		return g != nil && g.primaryChanging()
	})
}

func (g *group) primaryChanging() bool {
	return g.failover.Primary().Term > 0 && (g.failover.State() != promote.Steady || g.failover.HandoverPending())
}

// countChangingOwners counts the owners of groups whose primaries are being changed.
func (l *Leader) countChangingOwners() {
	owners := map[string]bool{}
	for _, g := range l.groups {
		if !g.primaryChanging() {
			continue
		}
		for _, vm := range g.owners {
			owners[vm] = true
		}
	}
	l.changingOwners = len(owners)
}
