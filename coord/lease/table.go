package lease

import (
	"maps"
	"slices"
	"time"
)

// DefaultDuration is how long a lease lasts when Table.Duration is 0.
const DefaultDuration = 2 * time.Second

// driftDivisor is the inverse of the clock rate error tolerated between two VMs.
const driftDivisor = 50

// minShare is the least number of connections that an owner is granted: one to watch the
// primary and one to work.
const minShare = 2

// Group is what the leader wants for one group.
type Group struct {
	// Term is the term in which writes may be acknowledged; 0 while a primary is changed.
	Term uint64
	// Closing grants the term only to those who hold it and finish what they began.
	Closing bool
	// Limit is the number of connections that all holders together may have open.
	Limit int
	// Owners are the entry VMs that shall hold the group.
	Owners []string
}

// Holding is what an entry VM reports that it may still be using.
type Holding struct {
	// Term is the term in which it may still acknowledge writes; 0 means it will not.
	Term uint64
	// Connections is the number it may have open, the ones being opened included.
	Connections int
	// Demand is the number that it could use, requests waiting included.
	Demand int
}

// Grant is what an entry VM may use until its lease ends.
type Grant struct {
	Term        uint64
	Connections int
}

// holder is what a VM may still be using; until and ackUntil are when that surely ends.
type holder struct {
	connections int
	until       time.Time
	ackTerm     uint64
	ackUntil    time.Time
	demand      int
}

type entry struct {
	group   Group
	holders map[string]*holder
	// known says that awaited lists every VM that may hold a lease of an earlier leader and has
	// not been heard yet.
	known   bool
	awaited map[string]bool
}

// Table is the leader's record of leases; it is not safe for concurrent use.
type Table struct {
	// Duration is how long a lease lasts for its holder; 0 means DefaultDuration.
	Duration time.Duration

	adoptUntil time.Time
	entries    map[string]*entry
}

// Reset forgets everything and starts a leadership: until each lease of an earlier leader has
// ended, holders keep what they report and nothing more is granted.
func (t *Table) Reset(now time.Time) {
	if t.Duration == 0 {
		t.Duration = DefaultDuration
	}
	t.adoptUntil = now.Add(t.ownDuration())
	t.entries = map[string]*entry{}
}

// ownDuration is how long the leader counts a lease: the holder's clock may run slow.
func (t *Table) ownDuration() time.Duration { return t.Duration + t.Duration/driftDivisor }

// Recovering reports whether leases of an earlier leader may still be held.
func (t *Table) Recovering(now time.Time) bool { return now.Before(t.adoptUntil) }

// ExpectReports says which VMs may hold leases of an earlier leader on a group: once all of them have
// been heard, nothing of those is unknown, and the group need not be adopted any longer.
func (t *Table) ExpectReports(name string, vms []string) {
	e := t.entry(name)
	e.known = true
	e.awaited = map[string]bool{}
	for _, vm := range vms {
		e.awaited[vm] = true
	}
}

// MarkReported takes note that a VM has reported all that it holds.
func (t *Table) MarkReported(vm string) {
	for _, e := range t.entries {
		delete(e.awaited, vm)
	}
}

// RecoveringGroup reports whether leases of an earlier leader on a group may still be unknown.
func (t *Table) RecoveringGroup(now time.Time, name string) bool {
	return t.adopting(now, t.entries[name])
}

func (t *Table) adopting(now time.Time, e *entry) bool {
	if e != nil && e.known && len(e.awaited) == 0 {
		return false
	}
	return t.Recovering(now)
}

func (t *Table) entry(name string) *entry {
	e := t.entries[name]
	if e == nil {
		e = &entry{holders: map[string]*holder{}}
		t.entries[name] = e
	}
	return e
}

// SetGroup says what is wanted for a group.
func (t *Table) SetGroup(name string, g Group) {
	t.entry(name).group = g
}

// RevokeGroup wants nothing more for a group; its holders are told to stop.
func (t *Table) RevokeGroup(name string) {
	if e := t.entries[name]; e != nil {
		e.group = Group{}
	}
}

// Renew records what vm still holds of a group and returns what it may use from now on.
func (t *Table) Renew(now time.Time, vm, name string, held Holding) Grant {
	e := t.entries[name]
	if e == nil {
		return Grant{}
	}
	h := t.holder(now, e, vm, held)
	if h == nil {
		return Grant{}
	}
	h.until = now.Add(t.ownDuration())
	h.demand = held.Demand
	grant := Grant{Connections: t.share(now, e, vm, h)}
	h.connections = max(held.Connections, grant.Connections)
	if held.Term == 0 {
		h.ackTerm = 0
	}
	if e.mayAcknowledge(vm, held) {
		grant.Term = e.group.Term
		h.ackTerm = e.group.Term
		h.ackUntil = h.until
	}
	if h.connections == 0 && h.ackTerm == 0 {
		delete(e.holders, vm)
	}
	return grant
}

// mayAcknowledge reports whether vm owns the group or is finishing what it began as an owner.
func (e *entry) mayAcknowledge(vm string, held Holding) bool {
	if e.group.Term == 0 {
		return false
	}
	if held.Term == e.group.Term {
		return true
	}
	return !e.group.Closing && slices.Contains(e.group.Owners, vm)
}

// holder finds or makes the record of vm; nil means that it may hold nothing.
func (t *Table) holder(now time.Time, e *entry, vm string, held Holding) *holder {
	h := e.holders[vm]
	if h != nil && now.Before(h.until) {
		h.connections = held.Connections
		return h
	}
	if t.adopting(now, e) {
		h = &holder{connections: held.Connections, ackTerm: held.Term, ackUntil: t.adoptUntil}
		e.holders[vm] = h
		return h
	}
	if !slices.Contains(e.group.Owners, vm) {
		delete(e.holders, vm)
		return nil
	}
	h = &holder{}
	e.holders[vm] = h
	return h
}

// share returns how many connections vm may use without the group's limit being passed.
func (t *Table) share(now time.Time, e *entry, vm string, h *holder) int {
	if t.adopting(now, e) {
		return h.connections
	}
	if !slices.Contains(e.group.Owners, vm) {
		return 0
	}
	wanted := e.wanted(now, vm)
	free := e.group.Limit
	for other, o := range e.holders {
		if other != vm && now.Before(o.until) {
			free -= o.connections
		}
	}
	return max(0, min(wanted, free))
}

// wanted divides the limit: an equal part for each owner, of which up to half goes to the
// owners with more demand.
func (e *entry) wanted(now time.Time, vm string) int {
	owners := e.group.Owners
	equal := e.group.Limit / len(owners)
	floor := max(minShare, equal/2)
	spare := e.group.Limit - floor*len(owners)
	if spare <= 0 {
		return equal
	}
	total, mine := 0, 0
	for _, owner := range owners {
		demand := 1
		if h := e.holders[owner]; h != nil && now.Before(h.until) {
			demand += h.demand
		}
		total += demand
		if owner == vm {
			mine = demand
		}
	}
	return floor + spare*mine/total
}

// Fenced reports whether no VM can acknowledge a write in a term up to and including term.
func (t *Table) Fenced(now time.Time, name string, term uint64) bool {
	e := t.entries[name]
	if t.adopting(now, e) {
		return false
	}
	if e == nil {
		return true
	}
	for _, h := range e.holders {
		if now.Before(h.ackUntil) && h.ackTerm != 0 && h.ackTerm <= term {
			return false
		}
	}
	return true
}

// Connections returns the number of connections of a group that may be open at now.
func (t *Table) Connections(now time.Time, name string) int {
	sum := 0
	if e := t.entries[name]; e != nil {
		for _, h := range e.holders {
			if now.Before(h.until) {
				sum += h.connections
			}
		}
	}
	return sum
}

// Holders returns the VMs that may still use a group, in alphabetical order.
func (t *Table) Holders(now time.Time, name string) []string {
	e := t.entries[name]
	if e == nil {
		return nil
	}
	var held []string
	for _, vm := range slices.Sorted(maps.Keys(e.holders)) {
		if now.Before(e.holders[vm].until) {
			held = append(held, vm)
		}
	}
	return held
}
