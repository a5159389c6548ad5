package sessions

import (
	"math"

	"trefoilcourse/coord/config"
	"trefoilcourse/wire"
)

const (
	// Costs of one hop of a statement. A hop between regions takes 20 times as long as one between failure
	// domains and uses a link that all VMs of the regions share.
	sameDomainCost  = 0
	otherDomainCost = 1
	otherRegionCost = 20
)

// needsPrimary reports whether only the primary may run a statement.
func needsPrimary(r *wire.StatementRequest, d config.Database) bool {
	if d.Consistency == config.ConsistencyPrimary {
		return true
	}
	if r.GetUnit() != "" {
		return !r.GetReadsOnly()
	}
	return r.GetKind() != wire.StatementKind_STATEMENT_KIND_READ
}

// hopCost returns the cost of a hop between two failure domains.
func (s *Sessions) hopCost(from, to string) int {
	switch {
	case from == to:
		return sameDomainCost
	case s.Regions[from] != s.Regions[to]:
		return otherRegionCost
	}
	return otherDomainCost
}

// wayThrough returns the cost of the way from this VM through an owner to the nearest server that may run a
// statement. Owners that cannot be reached come last.
func (s *Sessions) wayThrough(vm string, g *wire.GroupState, primaryOnly bool) int {
	domain := s.FailureDomain
	if vm != s.VM {
		m := s.View.Member(vm)
		if m == nil || s.link(m.GetLinkAddress()).isUnreachable() {
			return math.MaxInt32
		}
		domain = m.GetFailureDomain()
	}
	nearest := 2 * otherRegionCost
	for _, server := range g.GetServers() {
		if primaryOnly != (server.GetSlot() == g.GetPrimarySlot()) || server.GetLeaving() {
			continue
		}
		nearest = min(nearest, s.hopCost(domain, server.GetFailureDomain()))
	}
	return s.hopCost(s.FailureDomain, domain) + nearest
}
