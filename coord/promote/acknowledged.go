package promote

// holdsAcknowledged reports whether a server whose status is best certainly holds every write that was
// acknowledged in a group with synchronous replicas, going by the statuses that have arrived since fencing.
//
// Each acknowledged write was received by SynchronousReplicas replicas. If fewer than that are missing, one
// that has answered holds it, and so does a server that is at least as far as all of these. A server that is
// as far as the last leader holds all that it acknowledged in any case.
func (g *Group) holdsAcknowledged(best Status, statuses []Status) bool {
	if g.SynchronousReplicas == 0 {
		return true
	}
	missing := len(g.Slots)
	for _, slot := range g.Slots {
		if slot == g.lastLeader {
			missing--
		}
	}
	for _, s := range statuses {
		behind := best.Position.Less(s.Position)
		if s.Slot == g.lastLeader {
			if !behind {
				return true
			}
			continue
		}
		if behind {
			return false
		}
		missing--
	}
	return missing < g.SynchronousReplicas
}
