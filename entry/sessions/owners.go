package sessions

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	// linkLatencyMargin is the latency that a link may add to the owner's execution time.
	linkLatencyMargin = 300 * time.Millisecond
	// ownerRetryDelay is the delay before all owners are tried again.
	ownerRetryDelay = 25 * time.Millisecond
	// ownerWaitDivisor limits the wait for an owner to this fraction of a statement's timeout, so
	// that a refused caller has time left to retry.
	ownerWaitDivisor = 3
	// ControlLossTimeout is how long a VM keeps its callers without contact to the control leader:
	// longer than an election takes, but short for callers that another VM could serve.
	ControlLossTimeout = 1800 * time.Millisecond
	// isolationTimeout is how long a VM must hear neither the control leader nor any owner before it
	// refuses at once: a renewal has failed by then, and owners answer each other much sooner.
	isolationTimeout = 600 * time.Millisecond
	// callerRetryDelay is the retry delay sent to a caller that no owner could serve: owners and
	// primaries change within seconds.
	callerRetryDelay = 300 * time.Millisecond
)

// runOnAnyOwner runs a statement on the first owner that accepts it, and returns that owner. Each attempt that
// may have begun a transaction is followed by one under another name.
func (s *Sessions) runOnAnyOwner(ctx context.Context, r *wire.StatementRequest) (*wire.StatementAnswer, string) {
	d, _, _, ok := s.View.Database(r.GetDatabase())
	if !ok {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Code: noDatabase, Reason: "no database is named " + r.GetDatabase()}, ""
	}
	if s.RecentlySuspended != nil && s.RecentlySuspended() {
		// The caller sent this before the suspension and has given up since.
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: "this entry VM stood still until now"}, ""
	}
	began := clock.Now()
	timeout := time.Duration(d.StatementMilliseconds) * time.Millisecond
	lastAnswer := &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: "no entry VM owns the group"}
	for {
		changed := s.View.Changed()
		for _, vm := range s.owners(d.Group, needsPrimary(r, d)) {
			a := s.sendToOwner(ctx, vm, r, began, timeout)
			if !s.mayRetry(r, a) {
				return a, vm
			}
			lastAnswer = a
			if r.GetUnit() != "" && a.GetDisposition() == wire.Disposition_DISPOSITION_UNKNOWN {
				s.rollback(vm, r.GetUnit())
				r.Unit = s.newID()
			}
		}
		waited := clock.Now().Sub(began)
		if waited >= timeout/ownerWaitDivisor || s.View.ConfirmationAge() > ControlLossTimeout || s.Isolated() || !waitForRetry(ctx, changed) {
			return &wire.StatementAnswer{
				Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: lastAnswer.GetReason(),
				RetryMilliseconds: uint32(callerRetryDelay.Milliseconds()),
			}, ""
		}
	}
}

// Isolated reports whether this VM has lost contact with the control leader and with every owner
// that it has sent statements to, so that another VM can serve its callers sooner.
func (s *Sessions) Isolated() bool {
	if s.View.ConfirmationAge() <= isolationTimeout {
		return false
	}
	s.mu.Lock()
	links := slices.Collect(maps.Values(s.links))
	s.mu.Unlock()
	since := clock.Now().Add(-isolationTimeout)
	down := false
	for _, l := range links {
		if l.heardSince(since) {
			return false
		}
		down = down || l.isUnreachable()
	}
	return down
}

// noDatabase is the code of answers to statements for an unknown database.
const noDatabase = "no-database"

// mayRetry reports whether a statement may be sent to another owner: either nothing has run, or
// only a read that is outside a transaction or the first of one.
func (s *Sessions) mayRetry(r *wire.StatementRequest, a *wire.StatementAnswer) bool {
	isRead := r.GetKind() == wire.StatementKind_STATEMENT_KIND_READ
	switch a.GetDisposition() {
	case wire.Disposition_DISPOSITION_ELSEWHERE:
		return true
	case wire.Disposition_DISPOSITION_UNKNOWN, wire.Disposition_DISPOSITION_ROLLED_BACK:
		return isRead && (r.GetUnit() == "" || r.GetBegins())
	}
	return false
}

func waitForRetry(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(ownerRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// runOnOwner runs a further statement of a transaction on the transaction's owner.
func (s *Sessions) runOnOwner(ctx context.Context, vm string, r *wire.StatementRequest) *wire.StatementAnswer {
	d, _, _, ok := s.View.Database(r.GetDatabase())
	timeout := time.Duration(d.StatementMilliseconds) * time.Millisecond
	if !ok {
		// The route was removed; a transaction that began before may still end.
		timeout = time.Second
	}
	return s.sendToOwner(ctx, vm, r, clock.Now(), timeout)
}

// sendToOwner runs a statement on one owner within the rest of its timeout.
func (s *Sessions) sendToOwner(ctx context.Context, vm string, r *wire.StatementRequest, began time.Time, timeout time.Duration) *wire.StatementAnswer {
	age := clock.Now().Sub(began)
	remaining := timeout - age
	if remaining <= 0 {
		return &wire.StatementAnswer{
			Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: "its time has passed",
			RetryMilliseconds: uint32(callerRetryDelay.Milliseconds()),
		}
	}
	r.AgeMilliseconds = uint32(age.Milliseconds()) + 1
	r.PatienceMilliseconds = uint32(remaining.Milliseconds()) + 1
	if vm == s.VM {
		return s.Local.Execute(ctx, r)
	}
	m := s.View.Member(vm)
	if m == nil {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: "the owner is not up"}
	}
	link := s.link(m.GetLinkAddress())
	if begins := r.GetUnit() == "" || r.GetBegins(); begins && link.isUnreachable() {
		link.ping()
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: "the owner is out of reach"}
	}
	s.Metrics.LinkStreams.Add(1)
	ctx, cancel := context.WithTimeout(ctx, remaining+linkLatencyMargin)
	defer cancel()
	a := &wire.StatementAnswer{}
	failFast := r.GetKind() == wire.StatementKind_STATEMENT_KIND_READ && (r.GetUnit() == "" || r.GetBegins())
	err := link.run(ctx, r, a, failFast)
	if errors.Is(err, protorpc.ErrNotConnected) {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: err.Error()}
	}
	if err != nil {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_UNKNOWN, Reason: "the owner was lost before it answered: " + err.Error()}
	}
	return a
}

// recordFailure counts and logs a statement that no server answered, with the reason.
func (s *Sessions) recordFailure(c *Session, r *wire.StatementRequest, a *wire.StatementAnswer) {
	if a.GetDisposition() == wire.Disposition_DISPOSITION_UNKNOWN {
		s.Metrics.Unknown.Add(1)
	} else {
		s.Metrics.NotRun.Add(a.GetDisposition().String(), 1)
	}
	s.Log.WithFields(map[string]any{
		"request": r.GetId(), "session": c.id, "unit": r.GetUnit(), "database": r.GetDatabase(),
		"statement": r.GetKind().String(), "outcome": a.GetDisposition().String(), "reason": a.GetReason(),
		"age-ms": r.GetAgeMilliseconds(), "configuration": s.View.Version(),
	}).Info("statement was not answered by a server")
}
