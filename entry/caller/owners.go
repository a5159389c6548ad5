package caller

import "slices"

// ownerFor returns the owner for an attempt: this VM first, then its failure domain, then others.
// last is true once all owners have been tried.
func (s *Server) ownerFor(group string, attempt int) (vm string, last bool) {
	owners := slices.Clone(s.View.Group(group).GetOwners())
	if len(owners) == 0 {
		return "", true
	}
	slices.SortStableFunc(owners, func(a, b string) int { return s.distance(a) - s.distance(b) })
	i := attempt % len(owners)
	return owners[i], i == len(owners)-1
}

func (s *Server) distance(vm string) int {
	switch {
	case vm == s.VM:
		return 0
	case s.View.Member(vm).GetFailureDomain() == s.FailureDomain:
		return 1
	}
	return 2
}
