package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minConnections is the smallest share of an owner: one connection to monitor the primary and one
	// for statements.
	minConnections = 2
	// demandHold is how long a reported demand counts. Demand is known as of a renewal; a shorter time would
	// take connections away for a single low report.
	demandHold = 500 * time.Millisecond
	// longDemandHold counts instead for longHoldTime after an owner needed connections within regretTime of
	// giving them up: its demand then changes faster than connections move, and moving them serves less.
	longDemandHold = 3 * time.Second
	regretTime     = time.Second
	longHoldTime   = 10 * time.Second
	// demandMemory is the time constant of the mean demand.
	demandMemory = 4 * time.Second
	// moveTimeout bounds how long a move is hastened. A longer one waits for transactions or for the end
	// of a lease.
	moveTimeout = 2 * time.Second
	// minMoveDivisor is the inverse of the smallest difference between shares, as a part of the limit, for
	// which a share is lowered. A connection that moves costs a handshake.
	minMoveDivisor = 16
)

// connectionShare is what an owner may use of the limit and what it could use.
type connectionShare struct {
	// demands are the reports that count.
	demands []demandReport
	// mean is the demand over about demandMemory.
	mean float64
	// size is the share; the owner has fewer connections while others still hold them.
	size int
	// loweredAt is when the size was last lowered, and longHoldUntil is when longDemandHold ends.
	loweredAt, longHoldUntil time.Time
	// waiting is set if the owner has fewer connections than it could use.
	waiting bool
	// movingSince is when the connections of the owner began to differ from its share.
	movingSince time.Time
}

// demandReport is the demand from a time until the next report.
type demandReport struct {
	at     time.Time
	demand int
}

// recordDemand records a report of demand.
func (s *connectionShare) recordDemand(now time.Time, demand int) {
	weight := 1.0
	if len(s.demands) > 0 {
		weight = 1 - math.Exp(-float64(now.Sub(s.demands[len(s.demands)-1].at))/float64(demandMemory))
	}
	s.mean += weight * (float64(demand) - s.mean)
	if demand > s.size && now.Sub(s.loweredAt) < regretTime {
		s.longHoldUntil = now.Add(longHoldTime)
	}
	hold := demandHold
	if now.Before(s.longHoldUntil) {
		hold = longDemandHold
	}
	s.demands = append(s.demands, demandReport{now, demand})
	for len(s.demands) > 1 && now.Sub(s.demands[1].at) >= hold {
		s.demands = s.demands[1:]
	}
}

// current returns the demand at the last report.
func (s *connectionShare) current() int { return s.demands[len(s.demands)-1].demand }

// peak returns the largest demand that counts.
func (s *connectionShare) peak() int {
	peak := 0
	for _, r := range s.demands {
		peak = max(peak, r.demand)
	}
	return peak
}

// follow sets the size to target, unless it is lower by less than minMove.
func (s *connectionShare) follow(now time.Time, target, minMove int) {
	switch {
	case target > s.size:
		s.size = target
	case target <= s.size-minMove:
		s.size, s.loweredAt = target, now
	}
}

// growth bounds how many connections the owners of a group are granted anew.
type growth struct {
	recent    float64
	updatedAt time.Time
}

// allow returns how many of wanted connections may be granted now, and counts them: at most perSecond at
// once and perSecond more in each second.
func (g *growth) allow(now time.Time, wanted, perSecond int) int {
	elapsed := now.Sub(g.updatedAt).Seconds()
	g.updatedAt = now
	g.recent = max(0, g.recent-elapsed*float64(perSecond))
	allowed := max(0, min(wanted, perSecond-int(math.Ceil(g.recent))))
	g.recent += float64(allowed)
	return allowed
}

// resetShares has all shares set anew after the limit or the owners have changed.
func (g *groupLeases) resetShares() {
	for _, h := range g.holders {
		h.share.size, h.share.loweredAt = 0, time.Time{}
	}
}

// minMove returns the smallest difference for which a share is lowered.
func (g *groupLeases) minMove() int { return max(1, g.group.Limit/minMoveDivisor) }

// minimum returns what each owner gets whatever its demand is, and how much of the limit is left for demand.
func (g *groupLeases) minimum() (each, spare int) {
	equal := g.group.Limit / len(g.group.Owners)
	each = max(minConnections, equal/2)
	if spare = g.group.Limit - each*len(g.group.Owners); spare <= 0 {
		return equal, 0
	}
	return each, spare
}

// grantConnections returns how many connections vm may use without exceeding the group's limit.
func (t *Table) grantConnections(now time.Time, g *groupLeases, vm string, h *vmLease) int {
	if t.groupRecovering(now, g) {
		return h.connections
	}
	if !slices.Contains(g.group.Owners, vm) {
		return 0
	}
	h.share.follow(now, g.targetShare(now, vm), g.minMove())
	free := g.group.Limit
	for other, o := range g.holders {
		if other != vm && now.Before(o.expiry) {
			free -= o.connections
		}
	}
	granted := max(0, min(h.share.size, free))
	minimum, spare := g.minimum()
	if unbounded := max(h.connections, minimum); granted > unbounded {
		granted = unbounded + g.growth.allow(now, granted-unbounded, spare)
	}
	g.trackMove(now, vm, h, granted)
	return granted
}

// trackMove records whether the connections of vm are to move.
func (g *groupLeases) trackMove(now time.Time, vm string, h *vmLease, granted int) {
	s := &h.share
	s.waiting = s.current() > granted
	gives := h.connections > granted || s.current() < min(s.peak(), s.size)
	switch {
	case !s.waiting && !(gives && g.othersWait(now, vm)):
		s.movingSince = time.Time{}
	case s.movingSince.IsZero():
		s.movingSince = now
	}
}

// othersWait reports whether another owner waits for connections that vm may give back.
func (g *groupLeases) othersWait(now time.Time, vm string) bool {
	for other, o := range g.holders {
		if other != vm && o.share.waiting && now.Before(o.expiry) {
			return true
		}
	}
	return false
}

// Moving reports whether vm waits for connections to a group or has some that others wait for, so that its
// next renewal should be soon.
func (t *Table) Moving(now time.Time, vm, name string) bool {
	g := t.groups[name]
	if g == nil || t.groupRecovering(now, g) {
		return false
	}
	h := g.holders[vm]
	return h != nil && !h.share.movingSince.IsZero() && now.Sub(h.share.movingSince) < moveTimeout
}

// targetShare returns the share of vm that the demands call for. Each owner gets half of an equal part. The
// rest is divided in proportion to the mean demand; owners that have more than they need now lend it to
// those that have less.
func (g *groupLeases) targetShare(now time.Time, vm string) int {
	owners := g.group.Owners
	minimum, spare := g.minimum()
	if spare == 0 {
		return minimum
	}
	weights, needs, totalWeight := make([]float64, len(owners)), make([]int, len(owners)), 0.0
	for i, owner := range owners {
		weights[i] = 1
		if h := g.holders[owner]; h != nil && now.Before(h.expiry) {
			weights[i] += h.share.mean
			needs[i] = max(0, h.share.peak()-minimum)
		}
		totalWeight += weights[i]
	}
	// What rounding leaves is lent as well.
	own, part, lendable, totalLendable := 0, 0, 0, spare
	lacks := make([]int, len(owners))
	for i, owner := range owners {
		entitled := int(float64(spare) * weights[i] / totalWeight)
		lacks[i] = max(0, needs[i]-entitled)
		totalLendable -= min(entitled, needs[i])
		if owner == vm {
			own, part, lendable = i, entitled, max(0, entitled-needs[i])
		}
	}
	borrowed, left := distribute(totalLendable, lacks)
	share := minimum + part + borrowed[own]
	if lendable > 0 {
		// Rounded up, so that no more is borrowed than is lent.
		share -= (lendable*(totalLendable-left) + totalLendable - 1) / totalLendable
	}
	return share
}

// distribute gives each need an equal part of total or, if that is less, all that it needs. It returns what
// each gets and what is left once all needs are met.
func distribute(total int, needs []int) (given []int, left int) {
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(needs[a], needs[b]) })
	given = make([]int, len(needs))
	left = total
	for served, i := range order {
		given[i] = min(needs[i], left/(len(needs)-served))
		left -= given[i]
	}
	return given, left
}
