package promote

import (
	_ "embed" // reads the state chart
	"fmt"
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/chart"
	"trefoilcourse/coord/session"
)

//go:embed chart.json
var chartFile []byte

var phases = chart.MustParse(chartFile)

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
	observationLife = 1500 * time.Millisecond
	checkTimeout    = 300 * time.Millisecond
	chooseGrace     = 100 * time.Millisecond
	queryInterval   = 250 * time.Millisecond
	// announcedQueryInterval is shorter, since callers wait for the choice alone.
	announcedQueryInterval = 100 * time.Millisecond
	// announcementLife is how old an announcement may be to count as a sign of life.
	announcementLife = 3 * time.Second
	orderTimeout     = 1500 * time.Millisecond
	// orderInterval is how long a platform is given before it is told again.
	orderInterval = 1500 * time.Millisecond
	// announcedOrderTimeout lets a platform take its time: a second choice costs as much again.
	announcedOrderTimeout = 4 * time.Second
	vetoLife              = 2 * time.Second
	vetoLimit             = 3
	// closingLimit is how long requests under way may keep a leaving primary in place.
	closingLimit = 30 * time.Second
)

// What a group waits for, in words.
const (
	suspectedNote = "owners cannot use the primary; asking it"
	leavingNote   = "the primary leaves; owners finish what they began on it"
)

// Health is an owner's finding about a primary.
type Health int

// The findings of an owner.
const (
	Good Health = iota
	Unreachable
	Stalled
	// Overloaded primaries answer, but are asked for more than they can do, since no replica is
	// fresh enough to take reads.
	Overloaded
)

// usable reports whether a primary should stay for all that was found.
func (h Health) usable() bool { return h == Good || h == Overloaded }

// Observation is what one owner found about the primary of a term.
type Observation struct {
	VM            string
	FailureDomain string
	Term          uint64
	Health        Health
}

// Status is a server's own answer to a question asked at Asked; without an incarnation it says
// that the server did not answer.
type Status struct {
	Slot        string
	Incarnation string
	Primary     bool
	// Term is the term that the server leads or follows.
	Term uint64
	// Position is that of its last record, with the term in which the record was written.
	Position session.Position
	// HasMajority reports that a majority of slots receives what the server writes, as primary.
	HasMajority bool
	// Leaving reports that the server is about to stop; only announcements say so.
	Leaving bool
	QueriedAt   time.Time
}

// Primary is the recorded primary of a term and the incarnations that count in its group.
type Primary struct {
	Term         uint64
	Slot         string
	Incarnations map[string]string
}

// Action is one thing for the leader to do; exactly one kind is set.
type Action struct {
	// Query asks these slots for their status.
	Query []string
	// Record proposes a primary to the control VMs.
	Record *Primary
	// Promote orders the recorded primary to lead its term, if its data is still that of the
	// recorded incarnation: a server that was wiped meanwhile must refuse.
	Promote *Primary
	// Follow orders a slot to follow the recorded primary.
	Follow string
}

type observed struct {
	Observation
	at time.Time
}

// Group decides about one group; set the exported fields before the first call.
type Group struct {
	// Name is the group's name.
	Name string
	// Slots are the configured slots, or those of the servers that announce themselves.
	Slots []string
	// Announced groups acknowledge at the primary only and are promoted by their platform, which
	// chooses the term: the recorded term orders changes, and servers' terms are compared with
	// one another alone.
	Announced bool

	state        string
	since        time.Time
	primary      Primary
	observations map[string]observed
	owners       map[string]string
	statuses     map[string]Status
	announced    map[string]Status
	nextQuery    time.Time
	nextOrder    time.Time
	nextDoubt    time.Time
	vetoUntil    time.Time
	vetoes       int
	note         string
	acceptLoss   bool
	forced       string
	marks        map[string]mark
	// relieving says that the primary is to become a replica only to share its reads.
	relieving  bool
	nextRelief time.Time
}

// State returns the name of the state in chart.json.
func (g *Group) State() string {
	if g.state == "" {
		return phases.Initial()
	}
	return g.state
}

// Note says in words what the group waits for; it is empty when all is well.
func (g *Group) Note() string { return g.note }

// Primary returns the recorded primary; its term is 0 when there is none yet.
func (g *Group) Primary() Primary { return g.primary }

// AckTerm returns the term in which owners may acknowledge writes, or 0 while that may change.
func (g *Group) AckTerm() uint64 {
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

// SetOwners says which VMs own the group and in which failure domains they are.
func (g *Group) SetOwners(domains map[string]string) { g.owners = domains }

// Observe takes note of an owner's finding.
func (g *Group) Observe(now time.Time, o Observation) {
	if g.observations == nil {
		g.observations = map[string]observed{}
	}
	if o.Term == g.primary.Term {
		g.observations[o.VM] = observed{o, now}
	}
}

// UpdateAnnouncement takes note of what a server said of itself, possibly some time ago; it is a hint
// that something is to be repaired and decides nothing.
func (g *Group) UpdateAnnouncement(s Status) {
	if g.announced == nil {
		g.announced = map[string]Status{}
	}
	g.announced[s.Slot] = s
}

// RemoveServer drops a server that is gone.
func (g *Group) RemoveServer(slot string) {
	delete(g.announced, slot)
	delete(g.statuses, slot)
}

// UpdateStatus takes note of a server's status.
func (g *Group) UpdateStatus(s Status) {
	if g.statuses == nil {
		g.statuses = map[string]Status{}
	}
	if old, ok := g.statuses[s.Slot]; !ok || old.QueriedAt.Before(s.QueriedAt) {
		g.statuses[s.Slot] = s
	}
}

// PrimaryRecorded takes note of a primary that the control VMs have recorded.
func (g *Group) PrimaryRecorded(now time.Time, p Primary) {
	if p.Term < g.primary.Term {
		return
	}
	newTerm := p.Term > g.primary.Term
	g.primary = p
	if newTerm {
		g.observations = nil
		g.vetoes = 0
		g.relieving = false
		g.step(now, "chosen")
	}
}

// Restart starts over under a new leader from what is recorded; an order that an earlier leader
// recorded and did not carry out is given again as soon as a server's answer shows it.
func (g *Group) Restart(now time.Time, p Primary) {
	g.primary = p
	g.state = phases.Initial()
	g.since = now
	g.relieving = false
}

// PromotionRefused takes note that the recorded primary will not lead: another is chosen.
func (g *Group) PromotionRefused(now time.Time, p Primary) {
	if g.State() == Ordering && p.Term == g.primary.Term {
		g.step(now, "failed")
	}
}

// ForceFailover starts a change of primary on an operator's word; with acceptLoss a majority is not
// waited for, and slot, if not empty, is taken.
func (g *Group) ForceFailover(now time.Time, slot string, acceptLoss bool) error {
	if slot != "" && !g.hasSlot(slot) {
		return fmt.Errorf("slot %q does not exist in database-group %q", slot, g.Name)
	}
	if g.primary.Term == 0 {
		return fmt.Errorf("database-group %q has no recorded primary yet", g.Name)
	}
	g.forced = slot
	g.acceptLoss = acceptLoss
	if g.State() == Steady {
		g.step(now, "suspected")
	}
	if g.State() == Checking {
		g.step(now, "confirmed")
	}
	return nil
}

// Tick lets time pass and returns what to do; fenced says whether no owner can acknowledge
// writes of the recorded term any more.
func (g *Group) Tick(now time.Time, fenced bool) []Action {
	if g.state == "" {
		g.state = phases.Initial()
		g.since = now
	}
	switch g.state {
	case Steady:
		return g.tickSteady(now)
	case Checking:
		return g.tickChecking(now)
	case Closing:
		return g.tickClosing(now, fenced)
	case Fencing:
		g.note = "waiting until no owner can acknowledge writes of the old term"
		if fenced {
			g.step(now, "fenced")
			return g.query(now)
		}
	case Choosing:
		return g.tickChoosing(now)
	case Ordering:
		return g.tickOrdering(now)
	}
	return nil
}

func (g *Group) step(now time.Time, event string) {
	next := phases.Next(g.State(), event)
	if next != g.state {
		g.since = now
		g.nextQuery = time.Time{}
		g.nextOrder = time.Time{}
	}
	g.state = next
}

func (g *Group) tickSteady(now time.Time) []Action {
	g.note = ""
	if g.primary.Term == 0 {
		return g.tickFirst(now)
	}
	if g.suspected(now) && !now.Before(g.vetoUntil) {
		g.note = suspectedNote
		g.step(now, "suspected")
		return g.query(now)
	}
	if g.primaryLeaves(now) {
		g.note = leavingNote
		g.step(now, "leaving")
		return nil
	}
	actions := g.repair(now)
	if g.overloaded(now) && !now.Before(g.nextRelief) {
		if g.relievable(now) {
			g.relieving = true
			g.note = reliefNote
			g.nextRelief = now.Add(reliefPause)
			g.step(now, "leaving")
			return nil
		}
		if !now.Before(g.nextDoubt) {
			g.nextDoubt = now.Add(queryInterval)
			return append(actions, Action{Query: g.Slots})
		}
	}
	if g.Announced && g.doubted(now) && !now.Before(g.nextDoubt) {
		g.nextDoubt = now.Add(queryInterval)
		actions = append(actions, Action{Query: []string{g.primary.Slot}})
	}
	return actions
}

// doubted reports whether any owner lately found the primary unusable.
func (g *Group) doubted(now time.Time) bool {
	for vm := range g.owners {
		o, ok := g.observations[vm]
		if ok && now.Sub(o.at) <= observationLife && !o.Health.usable() {
			return true
		}
	}
	return false
}

// primaryLeaves reports whether the primary has announced that it leaves and a majority of the
// slots, without it, is there to go on.
func (g *Group) primaryLeaves(now time.Time) bool {
	if !g.announced[g.primary.Slot].Leaving {
		return false
	}
	staying := 0
	for slot, a := range g.announced {
		fresh := now.Sub(a.QueriedAt) < announcementLife
		if slot != g.primary.Slot && fresh && !a.Leaving && g.counts(a) && (g.Announced || a.Term == g.primary.Term) {
			staying++
		}
	}
	if g.Announced {
		return staying > 0
	}
	return staying > len(g.Slots)/2
}

// tickClosing waits until the owners have finished what they began on a leaving primary.
func (g *Group) tickClosing(now time.Time, fenced bool) []Action {
	g.note = leavingNote
	if g.relieving {
		g.note = reliefNote
	}
	if g.suspected(now) || now.Sub(g.since) >= closingLimit {
		g.step(now, "confirmed")
		return nil
	}
	if fenced {
		g.step(now, "fenced")
		return g.query(now)
	}
	return nil
}

// suspected reports whether a majority of the owners, from two failure domains if they span
// as many, lately found the primary unusable. Owners of an announced group that are silent do not
// count: they may have been lost with the primary, and whatever is suspected, the leader asks the
// primary itself and waits for every lease before another is chosen.
func (g *Group) suspected(now time.Time) bool {
	against, counted := 0, 0
	domains := map[string]bool{}
	span := map[string]bool{}
	for vm, domain := range g.owners {
		o, ok := g.observations[vm]
		heard := ok && now.Sub(o.at) <= observationLife
		if g.Announced && !heard {
			continue
		}
		counted++
		span[domain] = true
		if heard && !o.Health.usable() {
			against++
			domains[domain] = true
		}
	}
	return against > counted/2 && len(domains) >= min(2, len(span))
}

// IsolatedOwners returns the owners that lately found a primary unusable which has answered the control
// leader as it should.
func (g *Group) IsolatedOwners(now time.Time) []string {
	s, ok := g.statuses[g.primary.Slot]
	if g.State() != Steady || !ok || now.Sub(s.QueriedAt) > observationLife || !g.healthy(s) {
		return nil
	}
	var blind []string
	for vm, o := range g.observations {
		if now.Sub(o.at) <= observationLife && !o.Health.usable() && !s.QueriedAt.Before(o.at.Add(-observationLife)) {
			blind = append(blind, vm)
		}
	}
	slices.Sort(blind)
	return blind
}

func (g *Group) tickChecking(now time.Time) []Action {
	g.note = suspectedNote
	s, ok := g.statuses[g.primary.Slot]
	fresh := ok && !s.QueriedAt.Before(g.since)
	if fresh && g.healthy(s) && g.vetoes < vetoLimit {
		g.vetoes++
		g.vetoUntil = now.Add(vetoLife)
		g.step(now, "cleared")
		return nil
	}
	if fresh || now.Sub(g.since) >= checkTimeout {
		g.step(now, "confirmed")
	}
	return nil
}

func (g *Group) healthy(s Status) bool {
	if g.Announced {
		return s.Primary && s.Incarnation != "" && s.Term >= highestTerm(slices.Collect(maps.Values(g.statuses)))
	}
	return s.Primary && s.HasMajority && s.Term == g.primary.Term && g.counts(s)
}

// counts reports whether a server still has the data that its slot promised to keep.
func (g *Group) counts(s Status) bool {
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
