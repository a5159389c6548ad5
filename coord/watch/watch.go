package watch

import (
	"slices"
	"time"

	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
)

const (
	// UnreachableTimeout is the time without a good report after which a primary is unreachable.
	UnreachableTimeout = time.Second
	// RefusalTimeout is the time for which every connection has been refused after which a primary is
	// unreachable. It is shorter than UnreachableTimeout, since a refusal shows that the VM is up and
	// no server runs on it.
	RefusalTimeout = 500 * time.Millisecond
	// StallTimeout is the time without replication progress, while waits are pending, after which a
	// primary is stalled.
	StallTimeout = time.Second
	// goodTimeout is the time after a good report during which a primary is good; between it and
	// UnreachableTimeout the health stays as it was.
	goodTimeout = 400 * time.Millisecond
	// lagSmoothing is the inverse weight of a new sample in the moving average of the lag.
	lagSmoothing = 8
)

// Health is an owner's assessment of a primary from its polls.
type Health int

// The health of a primary.
const (
	Unknown Health = iota
	Good
	Unreachable
	Stalled
)

// String returns the name of the health in kebab case.
func (h Health) String() string {
	return [...]string{"unknown", "good", "unreachable", "stalled"}[h]
}

// Replica is the replication state of one replica as the primary reports it.
type Replica struct {
	Slot        string
	Incarnation string
	// Flushed is the byte offset in the primary's log up to which the replica has synced.
	Flushed uint64
	// Replayed is the position up to which reads on the replica see the log.
	Replayed session.Position
}

// Report is a primary's response to a poll.
type Report struct {
	// PolledAt is when the poll was sent; Position covers everything committed before.
	PolledAt  time.Time
	IsPrimary bool
	Position  session.Position
	Replicas  []Replica
}

// MajorityRules determines which servers count towards a majority.
type MajorityRules struct {
	// SlotCount is the number of configured slots.
	SlotCount int
	// PrimarySlot is the slot of the primary.
	PrimarySlot string
	// Admitted is, by slot, the incarnation whose data counts.
	Admitted map[string]string
	// HoldsLease is set if the owner holds the lease for the watched term when it handles the
	// report, so that no later primary can have acknowledged a write before; without it a poll
	// proves no floor.
	HoldsLease bool
	// PrimaryOnly is set if writes are acknowledged without a majority.
	PrimaryOnly bool
}

// WaitResult is the outcome of a wait. Position covers what was committed before the wait started,
// unless Superseded is set because the lease ended first. Acknowledged covers every write that any
// owner had acknowledged by then, and may be lower than Position. If the poll showed every slot, it
// is the position synced by a majority of the slots, since a slot keeps what it has synced; otherwise
// it is the position of the primary.
type WaitResult struct {
	ID           uint64
	Position     session.Position
	Acknowledged session.Position
	Superseded   bool
}

type wait struct {
	startedAt     time.Time
	term          uint64
	majority      bool
	positionKnown bool
	position      session.Position
}

type replica struct {
	replayed   session.Position
	reportedAt time.Time
	lag        time.Duration
}

// PrimaryWatcher tracks one group's primary for an owner; it is not safe for concurrent use.
type PrimaryWatcher struct {
	term           uint64
	health         Health
	lastReportAt   time.Time
	refusedSince   time.Time
	lastProgressAt time.Time
	// stalledPosition is the position that a majority must reach to end a stall.
	stalledPosition  session.Position
	majorityPosition session.Position
	history          route.PositionHistory
	replicas         map[string]*replica
	waits            map[uint64]*wait
	lastID           uint64
}

// StartTerm starts watching a term and resets what was found out about the primary of another.
func (w *PrimaryWatcher) StartTerm(now time.Time, term uint64) {
	if w.term == term && !w.lastReportAt.IsZero() {
		return
	}
	w.term = term
	w.health = Unknown
	w.lastReportAt = now
	w.refusedSince = time.Time{}
	w.lastProgressAt = now
	w.replicas = map[string]*replica{}
}

// Term returns the watched term.
func (w *PrimaryWatcher) Term() uint64 { return w.term }

// Health returns the result of the last Evaluate.
func (w *PrimaryWatcher) Health() Health { return w.health }

// PendingWaits returns the number of pending waits.
func (w *PrimaryWatcher) PendingWaits() int { return len(w.waits) }

// MajorityPosition returns the highest position known to be synced by a majority of the slots.
func (w *PrimaryWatcher) MajorityPosition() session.Position { return w.majorityPosition }

// History returns the samples of the primary's position by time.
func (w *PrimaryWatcher) History() *route.PositionHistory { return &w.history }

// StartWait registers a wait for a position that covers everything committed before now and, if
// majority is set, for a majority to sync it. A wait with a nonzero term ends with the lease for
// that term.
func (w *PrimaryWatcher) StartWait(now time.Time, term uint64, majority bool) uint64 {
	if w.waits == nil {
		w.waits = map[uint64]*wait{}
	}
	if len(w.waits) == 0 {
		w.lastProgressAt = now
	}
	w.lastID++
	w.waits[w.lastID] = &wait{startedAt: now, term: term, majority: majority}
	return w.lastID
}

// CancelWait removes a wait without a result.
func (w *PrimaryWatcher) CancelWait(id uint64) { delete(w.waits, id) }

// HandleReport applies a poll's report and returns the results of the waits that it completes.
func (w *PrimaryWatcher) HandleReport(now time.Time, r Report, g MajorityRules) []WaitResult {
	w.lastReportAt = now
	w.refusedSince = time.Time{}
	if g.HoldsLease {
		w.history.Record(r.PolledAt, r.Position)
	}
	for _, f := range r.Replicas {
		w.updateReplica(r.PolledAt, f)
	}
	majority := majorityOf(r, g)
	if w.majorityPosition.Less(majority) || !majority.Less(r.Position) {
		w.lastProgressAt = now
	}
	w.majorityPosition = w.majorityPosition.Max(majority)
	return w.completeWaits(r, g.HoldsLease, acknowledgedPosition(r, g, majority))
}

// acknowledgedPosition returns a position that covers every write acknowledged before the poll.
func acknowledgedPosition(r Report, g MajorityRules, majority session.Position) session.Position {
	if g.PrimaryOnly {
		return r.Position
	}
	admittedSlots := 1
	for _, f := range r.Replicas {
		if f.Slot != g.PrimarySlot && f.Incarnation != "" && g.Admitted[f.Slot] == f.Incarnation {
			admittedSlots++
		}
	}
	if admittedSlots < g.SlotCount {
		return r.Position
	}
	return majority
}

func (w *PrimaryWatcher) updateReplica(polledAt time.Time, f Replica) {
	known := w.replicas[f.Slot]
	if known == nil {
		known = &replica{}
		w.replicas[f.Slot] = known
	}
	known.replayed = f.Replayed
	known.reportedAt = polledAt
	if age, ok := w.history.Age(polledAt, f.Replayed); ok {
		known.lag += (age - known.lag) / lagSmoothing
	}
}

// majorityOf returns the highest position that a majority of the slots has synced. Only servers
// whose incarnation is admitted count.
func majorityOf(r Report, g MajorityRules) session.Position {
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

func (w *PrimaryWatcher) completeWaits(r Report, leased bool, acknowledged session.Position) []WaitResult {
	var ended []WaitResult
	for id, t := range w.waits {
		if !leased && t.term == 0 {
			continue
		}
		if !t.positionKnown && !r.PolledAt.Before(t.startedAt) {
			t.position = r.Position
			t.positionKnown = true
		}
		if t.positionKnown && (!t.majority || !w.majorityPosition.Less(t.position)) {
			ended = append(ended, WaitResult{
				ID: id, Position: t.position, Acknowledged: acknowledged,
				Superseded: t.term != 0 && t.term != t.position.Term,
			})
			delete(w.waits, id)
		}
	}
	return ended
}

// EndSupersededWaits ends the waits of writes whose lease has ended. ackTerm is the term in which
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

// RecordRefusal records that the primary's VM refused a connection.
func (w *PrimaryWatcher) RecordRefusal(now time.Time) {
	if w.refusedSince.IsZero() {
		w.refusedSince = now
	}
}

// Evaluate updates the primary's health and reports whether it has changed.
func (w *PrimaryWatcher) Evaluate(now time.Time) (h Health, changed bool) {
	before := w.health
	switch {
	case now.Sub(w.lastReportAt) > UnreachableTimeout:
		w.health = Unreachable
	case !w.refusedSince.IsZero() && now.Sub(w.refusedSince) >= RefusalTimeout:
		w.health = Unreachable
	case w.health == Stalled && w.majorityPosition.Less(w.stalledPosition):
		// A stall outlasts its waits, which ended when the lease was given up.
	case len(w.waits) > 0 && now.Sub(w.lastProgressAt) > StallTimeout:
		w.health = Stalled
		w.stalledPosition, _ = w.history.Latest()
	case now.Sub(w.lastReportAt) <= goodTimeout:
		w.health = Good
	}
	return w.health, w.health != before
}

// Replica returns what is known of a replica, for routing reads; ok is false if the primary has not
// reported it in this term.
func (w *PrimaryWatcher) Replica(slot string) (s route.Server, ok bool) {
	r := w.replicas[slot]
	if r == nil {
		return route.Server{}, false
	}
	return route.Server{Slot: slot, Replayed: r.replayed, ReportedAt: r.reportedAt, Lag: r.lag}, true
}
