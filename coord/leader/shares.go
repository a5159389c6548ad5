package leader

import (
	"slices"
	"time"
)

// maxMoveRate limits the renewals in a second of the VMs whose connections move; with more such VMs, moves
// take longer.
const maxMoveRate = 500

// moveInterval returns when a VM should renew if it has connections to give back that others wait for, or
// waits for some, and else its usual interval.
func (l *Leader) moveInterval(now time.Time, m *member, usual time.Duration) time.Duration {
	m.moving = slices.ContainsFunc(m.owned, func(name string) bool {
		return l.leases.Moving(now, m.directoryEntry.GetVm(), name)
	})
	if !m.moving {
		return usual
	}
	return min(usual, max(soonInterval, time.Duration(l.movingVMs)*time.Second/maxMoveRate))
}

// countMovingVMs counts the VMs whose connections moved when they last renewed.
func (l *Leader) countMovingVMs() {
	l.movingVMs = 0
	for _, m := range l.members {
		if m.moving {
			l.movingVMs++
		}
	}
}
