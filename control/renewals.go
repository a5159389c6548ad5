package control

import (
	"sync"

	"trefoilcourse/wire"
)

// maxTrackedVMs bounds the VMs whose latest renewals are known, several times the largest deployment.
const maxTrackedVMs = 4096

// latestRenewals knows the latest renewal that has arrived from each VM. A VM sends the next one only after
// it has given up the one before, which then need not be handled. The zero value is ready to use, also
// concurrently.
type latestRenewals struct {
	mu     sync.Mutex
	latest map[string]*wire.RenewRequest
}

// receive records a renewal that has arrived.
func (l *latestRenewals) receive(r *wire.RenewRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == nil || len(l.latest) >= maxTrackedVMs {
		l.latest = map[string]*wire.RenewRequest{}
	}
	known := l.latest[r.GetVm()]
	if known.GetIncarnation() != r.GetIncarnation() || known.GetSequence() < r.GetSequence() {
		// Only what identifies the renewal is kept.
		l.latest[r.GetVm()] = &wire.RenewRequest{Incarnation: r.GetIncarnation(), Sequence: r.GetSequence()}
	}
}

// superseded reports whether a later renewal of the same start of the VM has arrived.
func (l *latestRenewals) superseded(r *wire.RenewRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.latest[r.GetVm()]
	return known.GetIncarnation() == r.GetIncarnation() && known.GetSequence() > r.GetSequence()
}
