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
	// linkMargin is what a link may add to the time that an owner takes.
	linkMargin = 300 * time.Millisecond
	// ownerPause is how long the owners are left before they are all asked again.
	ownerPause = 25 * time.Millisecond
	// holdDivisor is the inverse of the share of a statement's time for which it is held while no
	// owner may run it: after that its caller is told, with time left to try again.
	holdDivisor = 3
	// ControlLossTimeout is how long a VM keeps its callers without contact to the control leader:
	// longer than an election takes, but short for callers that another VM could serve.
	ControlLossTimeout = 1800 * time.Millisecond
	// lostTouch is how long neither the control leader nor any owner is heard before a VM refuses
	// at once: a renewal has failed by then, and owners answer each other much sooner.
	lostTouch = 600 * time.Millisecond
	// comeBack is when a caller may try again that no owner could serve: owners and primaries
	// change within seconds.
	comeBack = 300 * time.Millisecond
)

// anywhere has the first owner that may run a statement run it, and returns which it was.
func (s *Sessions) anywhere(ctx context.Context, r *wire.StatementRequest) (*wire.StatementAnswer, string) {
	d, _, _, ok := s.View.Database(r.GetDatabase())
	if !ok {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Code: noDatabase, Reason: "no database is named " + r.GetDatabase()}, ""
	}
	if s.RecentlySuspended != nil && s.RecentlySuspended() {
		// Who sent this before has given it up.
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: "this entry VM stood still until now"}, ""
	}
	began := clock.Now()
	limit := time.Duration(d.StatementMilliseconds) * time.Millisecond
	last := &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: "no entry VM owns the group"}
	for {
		changed := s.View.Changed()
		for _, vm := range s.owners(d.Group) {
			a := s.askFor(ctx, vm, r, began, limit)
			if !s.again(r, a) {
				return a, vm
			}
			last = a
		}
		held := clock.Now().Sub(began)
		if held >= limit/holdDivisor || s.View.Age() > ControlLossTimeout || s.Isolated() || !pause(ctx, changed) {
			return &wire.StatementAnswer{
				Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: last.GetReason(),
				RetryMilliseconds: uint32(comeBack.Milliseconds()),
			}, ""
		}
	}
}

// Isolated reports whether this VM has lost contact with the control leader and with every owner
// that it has sent statements to, so that another VM can serve its callers sooner.
func (s *Sessions) Isolated() bool {
	if s.View.Age() <= lostTouch {
		return false
	}
	s.mu.Lock()
	links := slices.Collect(maps.Values(s.links))
	s.mu.Unlock()
	since := clock.Now().Add(-lostTouch)
	down := false
	for _, l := range links {
		if l.heardSince(since) {
			return false
		}
		down = down || l.isDown()
	}
	return down
}

// noDatabase marks the answer for a name that no database has.
const noDatabase = "no-database"

// again reports whether another owner may be asked: nothing has run, or nothing but a read that
// stands alone or begins its transaction.
func (s *Sessions) again(r *wire.StatementRequest, a *wire.StatementAnswer) bool {
	reads := r.GetKind() == wire.StatementKind_STATEMENT_KIND_READ
	switch a.GetDisposition() {
	case wire.Disposition_DISPOSITION_ELSEWHERE:
		return true
	case wire.Disposition_DISPOSITION_UNKNOWN, wire.Disposition_DISPOSITION_ROLLED_BACK:
		return reads && (r.GetUnit() == "" || r.GetBegins())
	}
	return false
}

func pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(ownerPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// at has the owner of a transaction run a further statement of it.
func (s *Sessions) at(ctx context.Context, vm string, r *wire.StatementRequest) *wire.StatementAnswer {
	d, _, _, ok := s.View.Database(r.GetDatabase())
	limit := time.Duration(d.StatementMilliseconds) * time.Millisecond
	if !ok {
		// The route is gone; what was begun under it may still end.
		limit = time.Second
	}
	return s.askFor(ctx, vm, r, clock.Now(), limit)
}

// askFor asks one owner, with the time that is left of the statement's.
func (s *Sessions) askFor(ctx context.Context, vm string, r *wire.StatementRequest, began time.Time, limit time.Duration) *wire.StatementAnswer {
	age := clock.Now().Sub(began)
	left := limit - age
	if left <= 0 {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: "its time has passed"}
	}
	r.AgeMilliseconds = uint32(age.Milliseconds()) + 1
	r.PatienceMilliseconds = uint32(left.Milliseconds()) + 1
	if vm == s.VM {
		return s.Local.Execute(ctx, r)
	}
	m := s.View.Member(vm)
	if m == nil {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: "the owner is not up"}
	}
	link := s.link(m.GetLinkAddress())
	if begins := r.GetUnit() == "" || r.GetBegins(); begins && link.isDown() {
		link.ping()
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: "the owner is out of reach"}
	}
	s.Metrics.LinkStreams.Add(1)
	ctx, cancel := context.WithTimeout(ctx, left+linkMargin)
	defer cancel()
	a := &wire.StatementAnswer{}
	hasty := r.GetKind() == wire.StatementKind_STATEMENT_KIND_READ && (r.GetUnit() == "" || r.GetBegins())
	err := link.run(ctx, r, a, hasty)
	if errors.Is(err, protorpc.ErrNotConnected) {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ELSEWHERE, Reason: err.Error()}
	}
	if err != nil {
		return &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_UNKNOWN, Reason: "the owner was lost before it answered: " + err.Error()}
	}
	return a
}

// note logs a statement that was not answered by a server, with what decided that.
func (s *Sessions) note(c *Session, r *wire.StatementRequest, a *wire.StatementAnswer) {
	if a.GetDisposition() == wire.Disposition_DISPOSITION_UNKNOWN {
		s.Metrics.Unknown.Add(1)
	} else {
		s.Metrics.NotRun.Add(a.GetDisposition().String(), 1)
	}
	s.Log.WithFields(map[string]any{
		"request": r.GetId(), "session": c.id, "unit": r.GetUnit(), "database": r.GetDatabase(),
		"statement": r.GetKind().String(), "outcome": a.GetDisposition().String(), "reason": a.GetReason(),
		"age-ms": r.GetAgeMilliseconds(), "configuration": s.View.Version(),
	}).Info("statement is not served")
}
