package promote

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// String returns the name of the health as it is logged.
func (h Health) String() string {
	return [...]string{"good", "unreachable", "stalled", "overloaded"}[h]
}

// Evidence describes the inputs of the group's decisions for logs: the observations of its owners
// and the statuses of its servers, with their ages.
func (g *Group) Evidence(now time.Time) string {
	var parts []string
	for _, vm := range slices.Sorted(maps.Keys(g.ownerDomains)) {
		if o, ok := g.observations[vm]; ok {
			parts = append(parts, fmt.Sprintf("%s finds it %s %v ago", vm, o.Health, now.Sub(o.receivedAt)))
		} else {
			parts = append(parts, vm+" has found nothing")
		}
	}
	for _, slot := range g.Slots {
		s, ok := g.statuses[slot]
		switch {
		case !ok:
		case s.Incarnation == "":
			parts = append(parts, fmt.Sprintf("%s asked %v ago, does not answer", slot, now.Sub(s.QueriedAt)))
		default:
			parts = append(parts, fmt.Sprintf("%s asked %v ago, primary %t at %v", slot, now.Sub(s.QueriedAt), s.Primary, s.Position))
		}
	}
	return strings.Join(parts, "; ")
}
