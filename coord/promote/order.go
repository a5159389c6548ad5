package promote

import (
	"fmt"
	"time"
)

func (g *Group) tickOrdering(now time.Time) []Action {
	g.note = fmt.Sprintf("ordering slot %q to lead term %d", g.primary.Slot, g.primary.Term)
	s, ok := g.statuses[g.primary.Slot]
	if ok && !s.QueriedAt.Before(g.since) && g.leads(s) {
		g.step(now, "promoted")
		g.note = ""
		return g.repair(now)
	}
	wiped := !g.Announced && ok && !s.QueriedAt.Before(g.since) && s.Incarnation != "" && !g.counts(s)
	limit := orderTimeout
	if g.Announced {
		limit = announcedOrderTimeout
	}
	if wiped || now.Sub(g.since) >= limit {
		g.step(now, "failed")
		return nil
	}
	if now.Before(g.nextQuery) {
		return nil
	}
	actions := g.query(now)
	if !g.Announced || !now.Before(g.nextOrder) {
		p := g.primary
		g.nextOrder = now.Add(orderInterval)
		actions = append([]Action{{Promote: &p}}, actions...)
	}
	return actions
}

// leads reports whether a server carries out the order to lead the recorded term.
func (g *Group) leads(s Status) bool {
	return s.Primary && g.counts(s) && (g.Announced || s.Term == g.primary.Term)
}

// repair gives orders again that a server has not carried out, admits servers that caught up,
// and keeps statuses fresh.
func (g *Group) repair(now time.Time) []Action {
	var actions []Action
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		late := ok && !g.Announced && s.Term < g.primary.Term && now.Sub(s.QueriedAt) < 2*repairInterval
		switch {
		case now.Before(g.nextQuery) || !ok || s.Incarnation == "" || g.Announced && now.Sub(s.QueriedAt) > 2*repairInterval:
		case slot == g.primary.Slot && (late || !s.Primary) && g.counts(s):
			p := g.primary
			actions = append(actions, Action{Promote: &p})
		case slot != g.primary.Slot && (late || s.Primary):
			actions = append(actions, Action{Follow: slot})
		}
	}
	if now.Before(g.nextQuery) {
		return nil
	}
	if p, ok := g.admission(now); ok && !g.Announced {
		actions = append(actions, Action{Record: &p})
	}
	g.nextQuery = now.Add(repairInterval)
	if g.needsRepair(now) || g.Announced && len(actions) > 0 {
		actions = append(actions, Action{Query: g.Slots})
	}
	return actions
}

// needsRepair reports whether a server's announcement is not as it should be.
func (g *Group) needsRepair(now time.Time) bool {
	for _, a := range g.announced {
		isPrimary := a.Slot == g.primary.Slot
		if g.Announced {
			if a.Primary != isPrimary && now.Sub(a.QueriedAt) < announcementLife {
				return true
			}
			continue
		}
		if !g.counts(a) || a.Term != g.primary.Term || a.Primary != isPrimary {
			return true
		}
	}
	return false
}

func (g *Group) query(now time.Time) []Action {
	if now.Before(g.nextQuery) {
		return nil
	}
	g.nextQuery = now.Add(queryInterval)
	if g.Announced {
		g.nextQuery = now.Add(announcedQueryInterval)
	}
	return []Action{{Query: g.Slots}}
}
