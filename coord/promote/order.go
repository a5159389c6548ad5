package promote

import (
	"fmt"
	"time"
)

func (g *Group) tickOrdering(now time.Time) []Action {
	g.note = fmt.Sprintf("ordering slot %q to lead term %d", g.primary.Slot, g.primary.Term)
	s, ok := g.statuses[g.primary.Slot]
	if ok && !s.QueriedAt.Before(g.enteredAt) && g.leads(s) {
		g.confirm()
		g.transition(now, "promoted")
		g.note = ""
		return g.repair(now)
	}
	wiped := !g.Announced && ok && !s.QueriedAt.Before(g.enteredAt) && s.Incarnation != "" && !g.isAdmitted(s)
	late := now.Sub(g.enteredAt) >= orderTimeout
	if g.Announced {
		// A platform that is slow may still carry out the order. While the server runs, another one
		// must not be ordered: both would lead, one after the other.
		late = now.Sub(g.enteredAt) >= announcedOrderTimeout && g.silent(now)
	}
	if wiped || late {
		g.transition(now, "failed")
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

// leads reports whether a server leads the recorded term as ordered.
func (g *Group) leads(s Status) bool {
	return s.Primary && g.isAdmitted(s) && (g.Announced || s.Term == g.primary.Term)
}

// repair repeats orders that a server has not carried out, admits servers that have caught up and
// keeps statuses fresh.
func (g *Group) repair(now time.Time) []Action {
	var actions []Action
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		behindTerm := ok && !g.Announced && s.Term < g.primary.Term && now.Sub(s.QueriedAt) < 2*repairInterval
		switch {
		case now.Before(g.nextQuery) || !ok || s.Incarnation == "" || g.Announced && now.Sub(s.QueriedAt) > 2*repairInterval:
		case slot == g.primary.Slot && (behindTerm || !s.Primary) && g.isAdmitted(s):
			p := g.primary
			actions = append(actions, Action{Promote: &p})
		case slot != g.primary.Slot && (behindTerm || s.Primary):
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

// needsRepair reports whether a server's announcement differs from the recorded state.
func (g *Group) needsRepair(now time.Time) bool {
	for _, a := range g.announcements {
		isPrimary := a.Slot == g.primary.Slot
		if g.Announced {
			if a.Primary != isPrimary && now.Sub(a.QueriedAt) < announcementTTL {
				return true
			}
			continue
		}
		if !g.isAdmitted(a) || a.Term != g.primary.Term || a.Primary != isPrimary {
			return true
		}
	}
	return false
}

// query queries all slots, at most once per query interval.
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
