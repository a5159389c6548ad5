package promote

import (
	_ "embed" // for chart.json
	"fmt"
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/chart"
	"trefoilcourse/coord/session"
)

//go:embed chart.json
var chartFile []byte

var stateChart = chart.MustParse(chartFile)

// The states of a group, as in chart.json.
const (
	Steady   = "steady"
	Checking = "checking"
	Closing  = "closing"
	Fencing  = "fencing"
	Choosing = "choosing"
	Ordering = "ordering"
)

const (
	// observationTTL is the maximum age of an owner's observation that counts.
	observationTTL = 1500 * time.Millisecond
	// checkTimeout is how long a suspected primary may take to answer the leader's status query.
	checkTimeout = 300 * time.Millisecond
	// followerWait is how long a choice waits for the remaining replicas once a majority of the slots
	// has answered.
	followerWait = 100 * time.Millisecond
	// queryInterval is the time between status queries in a state that waits for answers.
	queryInterval = 250 * time.Millisecond
	// announcedQueryInterval replaces queryInterval for announced groups: callers wait while the next
	// primary is chosen.
	announcedQueryInterval = 100 * time.Millisecond
	// announcementTTL is the maximum age of an announcement that shows a server to be alive.
	announcementTTL = 3 * time.Second
	// orderTimeout is how long a chosen server may take to lead before another is chosen.
	orderTimeout = 1500 * time.Millisecond
	// orderInterval is the time after which an order to a platform is repeated.
	orderInterval = 1500 * time.Millisecond
	// announcedOrderTimeout replaces orderTimeout for announced groups, if the server does not answer: a
	// platform may be slow to promote a server, and a second choice takes as long again.
	announcedOrderTimeout = 4 * time.Second
	// clearedHoldoff is how long the owners' observations are ignored after a check has cleared the
	// primary; maxClears is how often that may happen in a term.
	clearedHoldoff   = 2 * time.Second
	maxClearedChecks = 3
	// confirmTimeout is how long a recorded primary that is not known to lead may leave the leader's
	// queries unanswered before it counts as silent. It covers several of them, and a leader's start
	// under the renewals of all VMs.
	confirmTimeout = 1500 * time.Millisecond
	// closingTimeout is how long requests in flight may delay the replacement of a leaving primary.
	closingTimeout = 30 * time.Second
)

// Notes that several states share.
const (
	suspectedNote   = "owners cannot use the primary; asking it"
	leavingNote     = "the primary leaves; owners finish what they began on it"
	unconfirmedNote = "the recorded primary is not known to lead; its term is not granted"
	silentNote      = "the recorded primary does not answer and no owner holds its term; asking it"
)

// Health is the assessment of a primary that an owner reports to the control leader.
type Health int

// The health of a primary.
const (
	Good Health = iota
	Unreachable
	Stalled
	// Overloaded primaries respond, but receive more than they can process because no replica is
	// fresh enough to take reads.
	Overloaded
)

// usable reports whether the health is no reason to replace the primary.
func (h Health) usable() bool { return h == Good || h == Overloaded }

// Observation is one owner's assessment of the primary of a term.
type Observation struct {
	VM            string
	FailureDomain string
	Term          uint64
	Health        Health
}

// Status is a server's answer to a status query; an empty incarnation means that it did not answer.
type Status struct {
	Slot        string
	Incarnation string
	Primary     bool
	// Term is the term that the server leads or follows.
	Term uint64
	// Position is that of the server's last record, with the term in which the record was written.
	Position session.Position
	// HasMajority is set for a primary if a majority of the slots receives what it writes.
	HasMajority bool
	// Leaving is set if the server is about to stop; only announcements set it.
	Leaving bool
	// QueriedAt is when the query was sent.
	QueriedAt time.Time
}

// Primary is the recorded primary of a term, with the admitted incarnation of each slot.
type Primary struct {
	Term         uint64
	Slot         string
	Incarnations map[string]string
}

// Action is an action for the control leader to take; exactly one field is set.
type Action struct {
	// Query lists the slots to query for their status.
	Query []string
	// Record is a primary for the control VMs to record.
	Record *Primary
	// Promote is the recorded primary whose server is to be ordered to lead its term. A server must
	// refuse if its incarnation differs from the recorded one, since it was wiped meanwhile.
	Promote *Primary
	// Follow is the slot whose server is to be ordered to follow the recorded primary.
	Follow string
}

type receivedObservation struct {
	Observation
	receivedAt time.Time
}

// Group is the failover state machine of one database group; set the exported fields before the
// first call.
type Group struct {
	// Name is the name of the database group.
	Name string
	// Slots are the configured slots or, in an announced group, those of the announced servers.
	Slots []string
	// Announced is set for a group whose servers announce themselves. Such groups acknowledge at
	// the primary only and are promoted by their platform, which chooses the term: the recorded
	// term orders changes, and the servers' terms are compared only with one another.
	Announced bool
	// SynchronousReplicas is how many replicas of an announced group have received a write before its
	// primary acknowledges it.
	SynchronousReplicas int
	// Notice is the time between learning that the primary leaves and closing it, in which the owners
	// start to ask often; those that hear of the closing first refuse work until the last one has.
	Notice time.Duration

	state            string
	enteredAt        time.Time
	primary          Primary
	observations     map[string]receivedObservation
	ownerDomains     map[string]string
	statuses         map[string]Status
	announcements    map[string]Status
	nextQuery        time.Time
	nextOrder        time.Time
	nextSteadyQuery  time.Time
	holdoffUntil     time.Time
	clearedChecks    int
	note             string
	acceptLoss       bool
	forcedSlot       string
	admissionTargets map[string]admissionTarget
	// loadHandover is set while the group is changing its primary because of load, so that the old
	// primary becomes a replica that shares the reads.
	loadHandover     bool
	nextLoadHandover time.Time
	// confirmed is set once the recorded primary is known to lead its term. A leader may have recorded
	// it and then lost its own term before the order.
	confirmed bool
	// lastLeader is the slot of the last primary that may have acknowledged writes.
	lastLeader string
	// primaryAnswered is when the last query was sent that the recorded primary has answered.
	primaryAnswered time.Time
	// withoutPrimary is since when a majority of the slots has answered and none of them leads, while no
	// primary is recorded.
	withoutPrimary time.Time
	// leavingSince is when the primary was found to be leaving, or zero.
	leavingSince time.Time
}

// State returns the name of the current state in chart.json.
func (g *Group) State() string {
	if g.state == "" {
		return stateChart.Initial()
	}
	return g.state
}

// Note describes what the group is waiting for; it is empty if there is nothing.
func (g *Group) Note() string { return g.note }

// Primary returns the recorded primary; its term is 0 if there is none yet.
func (g *Group) Primary() Primary { return g.primary }

// AckTerm returns the term in which owners may acknowledge writes, or 0 while it may change.
func (g *Group) AckTerm() uint64 {
	if g.Announced && !g.confirmed {
		return 0
	}
	switch g.State() {
	case Steady, Checking, Closing:
		return g.primary.Term
	case Ordering:
		if !g.Announced {
			return g.primary.Term
		}
	}
	return 0
}

// Closing reports whether owners may only finish what they began on the primary.
func (g *Group) Closing() bool { return g.State() == Closing }

// SetOwners sets the VMs that own the group, with their failure domains.
func (g *Group) SetOwners(domains map[string]string) { g.ownerDomains = domains }

// Observe records an owner's observation.
func (g *Group) Observe(now time.Time, o Observation) {
	if g.observations == nil {
		g.observations = map[string]receivedObservation{}
	}
	if o.Term == g.primary.Term {
		g.observations[o.VM] = receivedObservation{o, now}
	}
}

// UpdateAnnouncement records a server's announcement, which may be outdated. It can trigger
// queries, repairs or the handover from a leaving primary, but decides no choice of a primary.
func (g *Group) UpdateAnnouncement(s Status) {
	if g.announcements == nil {
		g.announcements = map[string]Status{}
	}
	g.announcements[s.Slot] = s
}

// RemoveServer removes a server that no longer exists.
func (g *Group) RemoveServer(slot string) {
	delete(g.announcements, slot)
	delete(g.statuses, slot)
}

// UpdateStatus records a server's status, unless a later one is known.
func (g *Group) UpdateStatus(s Status) {
	if g.statuses == nil {
		g.statuses = map[string]Status{}
	}
	if old, ok := g.statuses[s.Slot]; !ok || old.QueriedAt.Before(s.QueriedAt) {
		g.statuses[s.Slot] = s
		if s.Slot == g.primary.Slot && s.Incarnation != "" {
			g.primaryAnswered = s.QueriedAt
			if !s.QueriedAt.Before(g.enteredAt) && g.leads(s) {
				g.confirm()
			}
		}
	}
}

// confirm records that the recorded primary leads its term, so that owners may acknowledge its writes.
func (g *Group) confirm() {
	g.confirmed = true
	g.lastLeader = g.primary.Slot
}

// ConfirmTerm records that an owner holds a lease for a term and reports whether that is news: an
// earlier leader granted it once the primary led.
func (g *Group) ConfirmTerm(term uint64) bool {
	if g.confirmed || term == 0 || term != g.primary.Term {
		return false
	}
	g.confirm()
	return true
}

// ApplyRecordedPrimary applies a primary that the control VMs have recorded.
func (g *Group) ApplyRecordedPrimary(now time.Time, p Primary) {
	if p.Term < g.primary.Term {
		return
	}
	newTerm := p.Term > g.primary.Term
	if g.primary.Term == 0 {
		// Nothing was acknowledged before the first primary.
		g.lastLeader = p.Slot
	}
	g.primary = p
	if newTerm {
		g.confirmed = false
		g.primaryAnswered = time.Time{}
		g.observations = nil
		g.clearedChecks = 0
		g.loadHandover = false
		g.transition(now, "chosen")
	}
}

// Restart resets the state for a new control leader. An order that an earlier leader recorded and
// did not carry out is repeated once a status shows that it is missing. Until then the recorded primary
// counts as the last leader: if it never led, the one before it is among the other slots.
func (g *Group) Restart(now time.Time, p Primary) {
	g.primary = p
	g.lastLeader = p.Slot
	g.state = stateChart.Initial()
	g.enteredAt = now
	g.loadHandover = false
	g.confirmed = false
	g.primaryAnswered = time.Time{}
}

// PromotionRefused records that the server in the primary's slot refused for good to lead the
// recorded term, so that another server is chosen.
func (g *Group) PromotionRefused(now time.Time, p Primary) {
	if g.State() == Ordering && p.Term == g.primary.Term {
		g.transition(now, "failed")
	}
}

// ForceFailover starts a change of primary on an operator's request. With acceptLoss it does not
// wait for a majority; slot, if not empty, names the new primary.
func (g *Group) ForceFailover(now time.Time, slot string, acceptLoss bool) error {
	if slot != "" && !g.hasSlot(slot) {
		return fmt.Errorf("slot %q does not exist in database-group %q", slot, g.Name)
	}
	if g.primary.Term == 0 {
		return fmt.Errorf("database-group %q has no recorded primary yet", g.Name)
	}
	g.forcedSlot = slot
	g.acceptLoss = acceptLoss
	if g.State() == Steady {
		g.transition(now, "suspected")
	}
	if g.State() == Checking {
		g.transition(now, "confirmed")
	}
	return nil
}

// Tick advances the state machine and returns the actions to take. fenced reports whether no owner
// can acknowledge writes of the recorded term any more.
func (g *Group) Tick(now time.Time, fenced bool) []Action {
	if g.state == "" {
		g.state = stateChart.Initial()
		g.enteredAt = now
	}
	switch g.state {
	case Steady:
		return g.tickSteady(now, fenced)
	case Checking:
		return g.tickChecking(now)
	case Closing:
		return g.tickClosing(now, fenced)
	case Fencing:
		g.note = "waiting until no owner can acknowledge writes of the old term"
		if fenced {
			g.transition(now, "fenced")
			return g.query(now)
		}
	case Choosing:
		return g.tickChoosing(now)
	case Ordering:
		return g.tickOrdering(now)
	}
	return nil
}

func (g *Group) transition(now time.Time, event string) {
	next := stateChart.Next(g.State(), event)
	if next != g.state {
		g.enteredAt = now
		g.nextQuery = time.Time{}
		g.nextOrder = time.Time{}
	}
	g.state = next
}

func (g *Group) tickSteady(now time.Time, fenced bool) []Action {
	g.note = ""
	if g.primary.Term == 0 {
		return g.tickBootstrap(now)
	}
	if g.Announced && !g.confirmed {
		g.note = unconfirmedNote
		if fenced && g.silent(now) {
			g.note = silentNote
			g.transition(now, "suspected")
			return g.query(now)
		}
	}
	if g.suspected(now) && !now.Before(g.holdoffUntil) {
		g.note = suspectedNote
		g.transition(now, "suspected")
		return g.query(now)
	}
	if g.updateLeaving(now) {
		g.note = leavingNote
		g.transition(now, "leaving")
		return nil
	}
	actions := g.repair(now)
	if g.overloaded(now) && !now.Before(g.nextLoadHandover) {
		if g.canHandOverLoad(now) {
			g.loadHandover = true
			g.note = overloadedNote
			g.nextLoadHandover = now.Add(loadHandoverInterval)
			g.transition(now, "leaving")
			return nil
		}
		if !now.Before(g.nextSteadyQuery) {
			g.nextSteadyQuery = now.Add(queryInterval)
			return append(actions, Action{Query: g.Slots})
		}
	}
	if g.Announced && (!g.confirmed || g.reportedUnusable(now)) && !now.Before(g.nextSteadyQuery) {
		g.nextSteadyQuery = now.Add(queryInterval)
		actions = append(actions, Action{Query: []string{g.primary.Slot}})
	}
	return actions
}

// silent reports whether the recorded primary has left the leader's queries unanswered. While no owner
// holds its term, nobody else can tell that it has failed.
func (g *Group) silent(now time.Time) bool {
	return now.Sub(g.enteredAt) >= confirmTimeout && now.Sub(g.primaryAnswered) >= confirmTimeout
}

// reportedUnusable reports whether any owner recently found the primary unusable.
func (g *Group) reportedUnusable(now time.Time) bool {
	for vm := range g.ownerDomains {
		o, ok := g.observations[vm]
		if ok && now.Sub(o.receivedAt) <= observationTTL && !o.Health.usable() {
			return true
		}
	}
	return false
}

// suspected reports whether a majority of the owners, from two failure domains if they span as
// many, recently found the primary unusable. Silent owners of an announced group do not count,
// since they may have been lost with the primary. That is safe: the leader queries the primary
// itself and waits for every lease to end before another is chosen.
func (g *Group) suspected(now time.Time) bool {
	unusable, counted := 0, 0
	unusableDomains := map[string]bool{}
	ownerSpan := map[string]bool{}
	for vm, domain := range g.ownerDomains {
		o, ok := g.observations[vm]
		recent := ok && now.Sub(o.receivedAt) <= observationTTL
		if g.Announced && !recent {
			continue
		}
		counted++
		ownerSpan[domain] = true
		if recent && !o.Health.usable() {
			unusable++
			unusableDomains[domain] = true
		}
	}
	return unusable > counted/2 && len(unusableDomains) >= min(2, len(ownerSpan))
}

// IsolatedOwners returns the owners that recently found the primary unusable although it is healthy by
// its own answer to the control leader.
func (g *Group) IsolatedOwners(now time.Time) []string {
	s, ok := g.statuses[g.primary.Slot]
	if g.State() != Steady || !ok || now.Sub(s.QueriedAt) > observationTTL || !g.healthy(s) {
		return nil
	}
	var isolated []string
	for vm, o := range g.observations {
		if now.Sub(o.receivedAt) <= observationTTL && !o.Health.usable() && !s.QueriedAt.Before(o.receivedAt.Add(-observationTTL)) {
			isolated = append(isolated, vm)
		}
	}
	slices.Sort(isolated)
	return isolated
}

func (g *Group) tickChecking(now time.Time) []Action {
	s, ok := g.statuses[g.primary.Slot]
	fresh := ok && !s.QueriedAt.Before(g.enteredAt)
	if fresh && g.healthy(s) && g.clearedChecks < maxClearedChecks {
		g.clearedChecks++
		g.holdoffUntil = now.Add(clearedHoldoff)
		g.transition(now, "cleared")
		return nil
	}
	if fresh || now.Sub(g.enteredAt) >= checkTimeout {
		g.transition(now, "confirmed")
	}
	return nil
}

// healthy reports whether a status shows a primary that may stay: it leads the recorded term, is
// admitted and has a majority of the slots connected. In an announced group it leads the highest
// term known.
func (g *Group) healthy(s Status) bool {
	if g.Announced {
		return s.Primary && s.Incarnation != "" && s.Term >= highestTerm(slices.Collect(maps.Values(g.statuses)))
	}
	return s.Primary && s.HasMajority && s.Term == g.primary.Term && g.isAdmitted(s)
}

// isAdmitted reports whether a server still has the data that its slot has acknowledged.
func (g *Group) isAdmitted(s Status) bool {
	if g.Announced {
		return s.Incarnation != ""
	}
	return s.Incarnation != "" && g.primary.Incarnations[s.Slot] == s.Incarnation
}

func (g *Group) hasSlot(slot string) bool {
	for _, s := range g.Slots {
		if s == slot {
			return true
		}
	}
	return false
}
