package lease

import (
	"maps"
	"slices"
	"time"
)

// DefaultDuration is how long a lease lasts when Table.Duration is 0.
const DefaultDuration = 2 * time.Second

// clockDriftDivisor is the inverse of the tolerated relative difference in clock rate between two
// VMs (2%).
const clockDriftDivisor = 50

// Group is the desired lease state of one group.
type Group struct {
	// Term is the term in which writes may be acknowledged; 0 while the primary is being changed.
	Term uint64
	// Closing renews the term only for VMs that already hold it, so that they can finish
	// transactions in progress.
	Closing bool
	// Limit is the maximum number of open connections of all holders together.
	Limit int
	// Owners are the entry VMs that are to hold leases on the group.
	Owners []string
}

// Holding is an entry VM's report of what it may still be using.
type Holding struct {
	// Term is the term in which the VM may still acknowledge writes, or 0 if it will not.
	Term uint64
	// Connections is the number that may be open, including those being opened.
	Connections int
	// Demand is the number that the VM could use, including for queued requests.
	Demand int
}

// Grant is what an entry VM may use until its lease expires.
type Grant struct {
	Term        uint64
	Connections int
}

// vmLease is what a VM may still be using: the connections until expiry at the latest, the right
// to acknowledge writes in ackTerm until ackExpiry at the latest.
type vmLease struct {
	connections int
	expiry      time.Time
	ackTerm     uint64
	ackExpiry   time.Time
	share       connectionShare
}

// groupLeases is the desired state of a group and the leases of its holders by VM.
type groupLeases struct {
	group   Group
	holders map[string]*vmLease
	// reportsExpected is set if unreported is complete: it holds every VM that may hold a lease of an
	// earlier leader and has not reported its holdings yet.
	reportsExpected bool
	unreported      map[string]bool
	growth          growth
}

// Table is the leader's record of leases; it is not safe for concurrent use.
type Table struct {
	// Duration is how long a lease lasts for its holder; 0 means DefaultDuration.
	Duration time.Duration

	recoveryEnd time.Time
	groups      map[string]*groupLeases
}

// StartTerm clears the table at the start of a control term and begins recovery: until every lease
// of an earlier leader has expired, holders keep what they report and nothing more is granted.
func (t *Table) StartTerm(now time.Time) {
	if t.Duration == 0 {
		t.Duration = DefaultDuration
	}
	t.recoveryEnd = now.Add(t.LeaderDuration())
	t.groups = map[string]*groupLeases{}
}

// LeaderDuration is how long the leader counts a lease, which allows for a slow clock at the holder.
func (t *Table) LeaderDuration() time.Duration { return t.Duration + t.Duration/clockDriftDivisor }

// Recovering reports whether leases of an earlier leader may not have expired yet.
func (t *Table) Recovering(now time.Time) bool { return now.Before(t.recoveryEnd) }

// ExpectReports lists all VMs that may hold leases of an earlier leader on a group. Recovery of the
// group ends early once each of them has reported its holdings.
func (t *Table) ExpectReports(name string, vms []string) {
	g := t.ensureGroup(name)
	g.reportsExpected = true
	g.unreported = map[string]bool{}
	for _, vm := range vms {
		g.unreported[vm] = true
	}
}

// MarkReported records that a VM has reported all its holdings.
func (t *Table) MarkReported(vm string) {
	for _, g := range t.groups {
		delete(g.unreported, vm)
	}
}

// GroupRecovering reports whether there may still be unknown leases of an earlier leader on a group.
func (t *Table) GroupRecovering(now time.Time, name string) bool {
	return t.groupRecovering(now, t.groups[name])
}

func (t *Table) groupRecovering(now time.Time, g *groupLeases) bool {
	if g != nil && g.reportsExpected && len(g.unreported) == 0 {
		return false
	}
	return t.Recovering(now)
}

// ensureGroup returns the record of a group and creates it if there is none.
func (t *Table) ensureGroup(name string) *groupLeases {
	g := t.groups[name]
	if g == nil {
		g = &groupLeases{holders: map[string]*vmLease{}}
		t.groups[name] = g
	}
	return g
}

// SetGroup sets the desired state of a group.
func (t *Table) SetGroup(name string, g Group) {
	known := t.ensureGroup(name)
	if known.group.Limit != g.Limit || !slices.Equal(known.group.Owners, g.Owners) {
		known.resetShares()
	}
	known.group = g
}

// RevokeGroup clears the desired state of a group; its holders are told to stop when they renew.
func (t *Table) RevokeGroup(name string) {
	if g := t.groups[name]; g != nil {
		g.group = Group{}
	}
}

// Renew records what vm still holds of a group and returns its renewed grant.
func (t *Table) Renew(now time.Time, vm, name string, holding Holding) Grant {
	g := t.groups[name]
	if g == nil {
		return Grant{}
	}
	h := t.ensureLease(now, g, vm, holding)
	if h == nil {
		return Grant{}
	}
	h.expiry = now.Add(t.LeaderDuration())
	h.share.recordDemand(now, holding.Demand)
	grant := Grant{Connections: t.grantConnections(now, g, vm, h)}
	h.connections = max(holding.Connections, grant.Connections)
	if holding.Term == 0 {
		h.ackTerm = 0
	}
	if g.mayAcknowledge(vm, holding) {
		grant.Term = g.group.Term
		h.ackTerm = g.group.Term
		h.ackExpiry = h.expiry
	}
	if h.connections == 0 && h.ackTerm == 0 {
		delete(g.holders, vm)
	}
	return grant
}

// mayAcknowledge reports whether vm may acknowledge writes in the group's term: as an owner, or
// because it already holds the term and may finish transactions in progress.
func (g *groupLeases) mayAcknowledge(vm string, holding Holding) bool {
	if g.group.Term == 0 {
		return false
	}
	if holding.Term == g.group.Term {
		return true
	}
	return !g.group.Closing && slices.Contains(g.group.Owners, vm)
}

// ensureLease returns the lease of vm and creates it if vm may hold one; otherwise it returns nil.
func (t *Table) ensureLease(now time.Time, g *groupLeases, vm string, holding Holding) *vmLease {
	h := g.holders[vm]
	if h != nil && now.Before(h.expiry) {
		h.connections = holding.Connections
		return h
	}
	if t.groupRecovering(now, g) {
		h = &vmLease{connections: holding.Connections, ackTerm: holding.Term, ackExpiry: t.recoveryEnd}
		g.holders[vm] = h
		return h
	}
	if !slices.Contains(g.group.Owners, vm) {
		delete(g.holders, vm)
		return nil
	}
	h = &vmLease{}
	g.holders[vm] = h
	return h
}

// Fenced reports whether no VM can acknowledge writes any more in any term up to and including term.
func (t *Table) Fenced(now time.Time, name string, term uint64) bool {
	g := t.groups[name]
	if t.groupRecovering(now, g) {
		return false
	}
	if g == nil {
		return true
	}
	for _, h := range g.holders {
		if now.Before(h.ackExpiry) && h.ackTerm != 0 && h.ackTerm <= term {
			return false
		}
	}
	return true
}

// Connections returns the number of connections to a group that may be open at now.
func (t *Table) Connections(now time.Time, name string) int {
	total := 0
	if g := t.groups[name]; g != nil {
		for _, h := range g.holders {
			if now.Before(h.expiry) {
				total += h.connections
			}
		}
	}
	return total
}

// Holders returns the VMs whose leases on a group have not expired, in alphabetical order.
func (t *Table) Holders(now time.Time, name string) []string {
	g := t.groups[name]
	if g == nil {
		return nil
	}
	var vms []string
	for _, vm := range slices.Sorted(maps.Keys(g.holders)) {
		if now.Before(g.holders[vm].expiry) {
			vms = append(vms, vm)
		}
	}
	return vms
}
