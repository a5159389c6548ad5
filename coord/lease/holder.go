package lease

import "time"

// heldLease is a grant and the time, on the holder's clock, at which it expires.
type heldLease struct {
	grant  Grant
	expiry time.Time
}

// Holder is an entry VM's record of its leases; it is not safe for concurrent use.
type Holder struct {
	leases              map[string]heldLease
	lastAnsweredRequest time.Time
	releasedTerms       map[string]uint64
	controlTerm         uint64
}

// ApplyGrants replaces all leases by the grants of the response to a request sent at requested. It
// returns false and changes nothing if the response is from an earlier leader than a previous one.
func (h *Holder) ApplyGrants(requested time.Time, controlTerm uint64, duration time.Duration, grants map[string]Grant) bool {
	if controlTerm < h.controlTerm {
		return false
	}
	h.controlTerm = controlTerm
	h.leases = map[string]heldLease{}
	for name, g := range grants {
		h.leases[name] = heldLease{grant: g, expiry: requested.Add(duration)}
	}
	if requested.After(h.lastAnsweredRequest) {
		h.lastAnsweredRequest = requested
	}
	return true
}

// Confirmed returns when the latest answered request was sent; the grants held are those
// in force at that time or later.
func (h *Holder) Confirmed() time.Time { return h.lastAnsweredRequest }

// Release suspends the right to acknowledge writes of a group in terms up to term until Restore.
func (h *Holder) Release(name string, term uint64) {
	if h.releasedTerms == nil {
		h.releasedTerms = map[string]uint64{}
	}
	h.releasedTerms[name] = max(h.releasedTerms[name], term)
}

// Restore undoes a Release for later grants. The current grant stays released, since the leader
// may already rely on the release.
func (h *Holder) Restore(name string) {
	if _, ok := h.releasedTerms[name]; !ok {
		return
	}
	delete(h.releasedTerms, name)
	if held, ok := h.leases[name]; ok {
		held.grant.Term = 0
		h.leases[name] = held
	}
}

// Term returns the term in which writes of a group may be acknowledged at now, or 0.
func (h *Holder) Term(now time.Time, name string) uint64 {
	held, ok := h.leases[name]
	if !ok || !now.Before(held.expiry) || held.grant.Term <= h.releasedTerms[name] {
		return 0
	}
	return held.grant.Term
}

// Connections returns how many connections to a group may be open at now.
func (h *Holder) Connections(now time.Time, name string) int {
	held, ok := h.leases[name]
	if !ok || !now.Before(held.expiry) {
		return 0
	}
	return held.grant.Connections
}

// Expiry returns when the lease on a group expires, or the zero time if there is none.
func (h *Holder) Expiry(name string) time.Time { return h.leases[name].expiry }

// Groups returns the names of the groups with a lease at now.
func (h *Holder) Groups(now time.Time) []string {
	var names []string
	for name, held := range h.leases {
		if now.Before(held.expiry) {
			names = append(names, name)
		}
	}
	return names
}
