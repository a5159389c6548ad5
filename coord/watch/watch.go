package watch

import (
	"slices"
	"time"

	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
)

const (
	// UnreachableTimeout is the time without a good answer after which a primary is unreachable.
	UnreachableTimeout = time.Second
	// RefusalTimeout is the time of nothing but refused connections after which a primary is
	// unreachable: its VM answers that no server is there.
	RefusalTimeout = 500 * time.Millisecond
	// StallTimeout is the time without progress of replication, while it is waited for, after
	// which a primary is stalled.
	StallTimeout = time.Second
	// doubtAfter is the time without a good answer after which nothing is concluded.
	doubtAfter = 400 * time.Millisecond
	// lagWeight is the inverse of the weight of a new lag in the running mean.
	lagWeight = 8
)

// Health is what an owner finds about a primary.
type Health int

// The findings about a primary.
const (
	Unknown Health = iota
	Good
	Unreachable
	Stalled
)

// String returns the finding's name in kebab case.
func (h Health) String() string {
	return [...]string{"unknown", "good", "unreachable", "stalled"}[h]
}

// Replica is a row of the primary's view of a replica.
type Replica struct {
	Slot        string
	Incarnation string
	// Flushed is the offset in bytes up to which it has synced the primary's log.
	Flushed uint64
	// Replayed is how far reads see on it.
	Replayed session.Position
}

// Report is a primary's answer to a poll.
type Report struct {
	// PolledAt is when the poll was sent; everything committed before is covered by Position.
	PolledAt    time.Time
	IsPrimary    bool
	Position session.Position
	Replicas []Replica
}

// GroupConfig says whose data counts towards a majority.
type GroupConfig struct {
	// SlotCount is the number of configured slots.
	SlotCount int
	// PrimarySlot is the primary's slot.
	PrimarySlot string
	// Admitted is the incarnation whose data counts, by slot.
	Admitted map[string]string
	// HoldsLease means that the owner holds the lease for the watched term as it learns, so that no
	// later primary can have acknowledged anything before; without it a poll proves no floor.
	HoldsLease bool
	// PrimaryOnly means that writes are acknowledged without a majority.
	PrimaryOnly bool
}

// WaitResult is the end of a wait: Position covers what was committed before the wait began, unless
// Superseded says that the lease ended first. Acknowledged covers what any owner had
// acknowledged by then, which is less: what a majority of the slots has synced, if the poll
// showed every slot, since what a slot has synced once it keeps.
type WaitResult struct {
	ID           uint64
	Position     session.Position
	Acknowledged session.Position
	Superseded   bool
}

type wait struct {
	since    time.Time
	term     uint64
	majority bool
	known    bool
	position session.Position
}

type replica struct {
	replayed session.Position
	reported time.Time
	lag      time.Duration
}

// PrimaryWatcher is an owner's view of one group's primary; it is not safe for concurrent use.
type PrimaryWatcher struct {
	term      uint64
	health    Health
	goodAt    time.Time
	refusedAt time.Time
	advanceAt time.Time
	// stuck is the position at which replication stalled.
	stuck     session.Position
	majority  session.Position
	sightings route.PositionHistory
	replicas  map[string]*replica
	waits     map[uint64]*wait
	lastID    uint64
}

// StartTerm begins a term: what was found out about the primary of another does not count.
func (w *PrimaryWatcher) StartTerm(now time.Time, term uint64) {
	if w.term == term && !w.goodAt.IsZero() {
		return
	}
	w.term = term
	w.health = Unknown
	w.goodAt = now
	w.refusedAt = time.Time{}
	w.advanceAt = now
	w.replicas = map[string]*replica{}
}

// Term returns the term that is watched.
func (w *PrimaryWatcher) Term() uint64 { return w.term }

// Health returns the last finding.
func (w *PrimaryWatcher) Health() Health { return w.health }

// PendingWaits returns the number of waits.
func (w *PrimaryWatcher) PendingWaits() int { return len(w.waits) }

// MajorityPosition returns the highest position that a majority of the slots was known to have synced.
func (w *PrimaryWatcher) MajorityPosition() session.Position { return w.majority }

// History returns the positions of the primary by time.
func (w *PrimaryWatcher) History() *route.PositionHistory { return &w.sightings }

// StartWait begins to wait for a position that covers everything committed before now; with
// majority, until a majority has it. A wait with a term ends when the lease for it does.
func (w *PrimaryWatcher) StartWait(now time.Time, term uint64, majority bool) uint64 {
	if w.waits == nil {
		w.waits = map[uint64]*wait{}
	}
	if len(w.waits) == 0 {
		w.advanceAt = now
	}
	w.lastID++
	w.waits[w.lastID] = &wait{since: now, term: term, majority: majority}
	return w.lastID
}

// CancelWait ends a wait without an outcome.
func (w *PrimaryWatcher) CancelWait(id uint64) { delete(w.waits, id) }

// HandleReport takes over a poll's answer and returns the waits that it ends.
func (w *PrimaryWatcher) HandleReport(now time.Time, r Report, g GroupConfig) []WaitResult {
	w.goodAt = now
	w.refusedAt = time.Time{}
	if g.HoldsLease {
		w.sightings.Record(r.PolledAt, r.Position)
	}
	for _, f := range r.Replicas {
		w.learnReplica(r.PolledAt, f)
	}
	majority := majorityOf(r, g)
	if w.majority.Less(majority) || !majority.Less(r.Position) {
		w.advanceAt = now
	}
	w.majority = w.majority.Max(majority)
	return w.endWaits(r, g.HoldsLease, acknowledged(r, g, majority))
}

// acknowledged returns a position that covers every write acknowledged before the poll.
func acknowledged(r Report, g GroupConfig, majority session.Position) session.Position {
	if g.PrimaryOnly {
		return r.Position
	}
	shown := 1
	for _, f := range r.Replicas {
		if f.Slot != g.PrimarySlot && f.Incarnation != "" && g.Admitted[f.Slot] == f.Incarnation {
			shown++
		}
	}
	if shown < g.SlotCount {
		return r.Position
	}
	return majority
}

func (w *PrimaryWatcher) learnReplica(asked time.Time, f Replica) {
	known := w.replicas[f.Slot]
	if known == nil {
		known = &replica{}
		w.replicas[f.Slot] = known
	}
	known.replayed = f.Replayed
	known.reported = asked
	if age, ok := w.sightings.Age(asked, f.Replayed); ok {
		known.lag += (age - known.lag) / lagWeight
	}
}

// majorityOf returns the highest position that a majority of the slots has synced; only servers
// whose data is known to be that of their slot count.
func majorityOf(r Report, g GroupConfig) session.Position {
	offsets := []uint64{r.Position.Offset}
	for _, f := range r.Replicas {
		if f.Slot != g.PrimarySlot && f.Incarnation != "" && g.Admitted[f.Slot] == f.Incarnation {
			offsets = append(offsets, f.Flushed)
		}
	}
	needed := g.SlotCount/2 + 1
	if len(offsets) < needed {
		return session.Position{}
	}
	slices.Sort(offsets)
	return session.Position{Term: r.Position.Term, Offset: offsets[len(offsets)-needed]}
}

func (w *PrimaryWatcher) endWaits(r Report, leased bool, acknowledged session.Position) []WaitResult {
	var ended []WaitResult
	for id, t := range w.waits {
		if !leased && t.term == 0 {
			continue
		}
		if !t.known && !r.PolledAt.Before(t.since) {
			t.position = r.Position
			t.known = true
		}
		if t.known && (!t.majority || !w.majority.Less(t.position)) {
			ended = append(ended, WaitResult{
				ID: id, Position: t.position, Acknowledged: acknowledged,
				Superseded: t.term != 0 && t.term != t.position.Term,
			})
			delete(w.waits, id)
		}
	}
	return ended
}

// EndSupersededWaits ends the waits of writes whose lease has ended; ackTerm is the term in which
// writes may be acknowledged now, or 0.
func (w *PrimaryWatcher) EndSupersededWaits(ackTerm uint64) []WaitResult {
	var ended []WaitResult
	for id, t := range w.waits {
		if t.term != 0 && t.term != ackTerm {
			ended = append(ended, WaitResult{ID: id, Superseded: true})
			delete(w.waits, id)
		}
	}
	return ended
}

// RecordRefusal takes note that the primary's VM refused a connection.
func (w *PrimaryWatcher) RecordRefusal(now time.Time) {
	if w.refusedAt.IsZero() {
		w.refusedAt = now
	}
}

// Evaluate draws a conclusion about the primary and reports whether it is another than before.
func (w *PrimaryWatcher) Evaluate(now time.Time) (h Health, changed bool) {
	before := w.health
	switch {
	case now.Sub(w.goodAt) > UnreachableTimeout:
		w.health = Unreachable
	case !w.refusedAt.IsZero() && now.Sub(w.refusedAt) >= RefusalTimeout:
		w.health = Unreachable
	case w.health == Stalled && w.majority.Less(w.stuck):
		// It stays so without waits, too: they ended with the lease that was given up.
	case len(w.waits) > 0 && now.Sub(w.advanceAt) > StallTimeout:
		w.health = Stalled
		w.stuck, _ = w.sightings.Latest()
	case now.Sub(w.goodAt) <= doubtAfter:
		w.health = Good
	}
	return w.health, w.health != before
}

// Replica returns what is known of a replica, for routing reads; ok is false for one that the
// primary has not reported in this term.
func (w *PrimaryWatcher) Replica(slot string) (s route.Server, ok bool) {
	r := w.replicas[slot]
	if r == nil {
		return route.Server{}, false
	}
	return route.Server{Slot: slot, Replayed: r.replayed, ReportedAt: r.reported, Lag: r.lag}, true
}
