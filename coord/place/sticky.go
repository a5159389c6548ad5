package place

import (
	"cmp"
	"slices"
)

// StickyOwners returns up to count owners for a group and retains the previous owners that are
// still members, since replacing one loses its connections and its observations of the primary.
// The other owners are the members with the fewest groups for their capacity, in failure domains
// without an owner if there are any, and there in the preferred domains; load returns how many groups
// a VM owns.
func StickyOwners(group string, members []Member, previous []string, count int, preferred map[string]bool, load func(vm string) int) []string {
	var owners []string
	usedDomains := map[string]bool{}
	for _, vm := range previous {
		i := slices.IndexFunc(members, func(m Member) bool { return m.VM == vm })
		if i >= 0 && len(owners) < count && !slices.Contains(owners, vm) {
			owners = append(owners, vm)
			usedDomains[members[i].FailureDomain] = true
		}
	}
	if len(owners) >= count || len(owners) >= len(members) {
		return owners
	}
	// Each is computed once, since a comparison of two members may need all of them.
	candidates := make([]stickyCandidate, len(members))
	for i, m := range members {
		candidates[i] = stickyCandidate{m, m.loadAfterAssignment(load(m.VM)), rendezvousScore(group, m.VM)}
	}
	for len(owners) < count && len(owners) < len(members) {
		next := slices.MinFunc(candidates, func(a, b stickyCandidate) int {
			if c := compareBool(slices.Contains(owners, a.VM), slices.Contains(owners, b.VM)); c != 0 {
				return c
			}
			if c := compareBool(usedDomains[a.FailureDomain], usedDomains[b.FailureDomain]); c != 0 {
				return c
			}
			if c := compareBool(!preferred[a.FailureDomain], !preferred[b.FailureDomain]); c != 0 {
				return c
			}
			return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(b.score, a.score), cmp.Compare(a.VM, b.VM))
		})
		owners = append(owners, next.VM)
		usedDomains[next.FailureDomain] = true
	}
	return owners
}

// stickyCandidate is a member with its load if it owns the group, and its rendezvous score for it.
type stickyCandidate struct {
	Member
	load  float64
	score uint64
}

// Misplaced returns an owner outside the preferred failure domains that a member of a preferred domain
// without an owner could replace, and reports false if there is none.
func Misplaced(members []Member, owners []string, preferred map[string]bool) (string, bool) {
	ownedDomains := map[string]bool{}
	misplaced := ""
	for _, m := range members {
		if !slices.Contains(owners, m.VM) {
			continue
		}
		ownedDomains[m.FailureDomain] = true
		if !preferred[m.FailureDomain] {
			misplaced = m.VM
		}
	}
	if misplaced == "" {
		return "", false
	}
	return misplaced, slices.ContainsFunc(members, func(m Member) bool {
		return preferred[m.FailureDomain] && !ownedDomains[m.FailureDomain]
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
