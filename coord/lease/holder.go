package lease

import "time"

type held struct {
	grant Grant
	until time.Time
}

// Holder is an entry VM's record of its leases; it is not safe for concurrent use.
type Holder struct {
	groups      map[string]held
	confirmed   time.Time
	suppressed  map[string]uint64
	controlTerm uint64
}

// RecordGrants records the grants of an answer to a question asked at asked; what the answer does
// not mention is held no more. An answer of an earlier leader than one already heard is
// refused with false.
func (h *Holder) RecordGrants(asked time.Time, controlTerm uint64, duration time.Duration, grants map[string]Grant) bool {
	if controlTerm < h.controlTerm {
		return false
	}
	h.controlTerm = controlTerm
	h.groups = map[string]held{}
	for name, g := range grants {
		h.groups[name] = held{grant: g, until: asked.Add(duration)}
	}
	if asked.After(h.confirmed) {
		h.confirmed = asked
	}
	return true
}

// Confirmed returns when the last answered question was asked; what was in force then is known.
func (h *Holder) Confirmed() time.Time { return h.confirmed }

// Release gives up the right to acknowledge writes of a group in term until Restore.
func (h *Holder) Release(name string, term uint64) {
	if h.suppressed == nil {
		h.suppressed = map[string]uint64{}
	}
	h.suppressed[name] = max(h.suppressed[name], term)
}

// Restore takes a release back for answers to come; what was granted before stays given up,
// since the leader may have counted on it.
func (h *Holder) Restore(name string) {
	if _, ok := h.suppressed[name]; !ok {
		return
	}
	delete(h.suppressed, name)
	if g, ok := h.groups[name]; ok {
		g.grant.Term = 0
		h.groups[name] = g
	}
}

// Term returns the term in which writes of a group may be acknowledged at now, or 0.
func (h *Holder) Term(now time.Time, name string) uint64 {
	g, ok := h.groups[name]
	if !ok || !now.Before(g.until) || g.grant.Term <= h.suppressed[name] {
		return 0
	}
	return g.grant.Term
}

// Connections returns how many connections of a group may be open at now.
func (h *Holder) Connections(now time.Time, name string) int {
	g, ok := h.groups[name]
	if !ok || !now.Before(g.until) {
		return 0
	}
	return g.grant.Connections
}

// Expiry returns when the lease on a group ends; the zero time means there is none.
func (h *Holder) Expiry(name string) time.Time { return h.groups[name].until }

// Groups returns the names of the groups with a lease at now.
func (h *Holder) Groups(now time.Time) []string {
	var names []string
	for name, g := range h.groups {
		if now.Before(g.until) {
			names = append(names, name)
		}
	}
	return names
}
