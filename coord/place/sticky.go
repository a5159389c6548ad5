package place

import (
	"cmp"
	"slices"
)

// StickyOwners returns up to count owners for a group of which some were owners before: these stay while
// they are members, since connections and what they have seen of the primary would be lost with
// them. The others are those that own least for their capacity, in failure domains without an
// owner if there are any; load tells how many groups a VM owns.
func StickyOwners(group string, members []Member, before []string, count int, load func(vm string) int) []string {
	known := map[string]Member{}
	for _, m := range members {
		known[m.VM] = m
	}
	var owners []string
	used := map[string]bool{}
	for _, vm := range before {
		if m, ok := known[vm]; ok && len(owners) < count && !slices.Contains(owners, vm) {
			owners = append(owners, vm)
			used[m.FailureDomain] = true
		}
	}
	for len(owners) < count && len(owners) < len(members) {
		next := slices.MinFunc(members, func(a, b Member) int {
			return cmp.Or(
				compareBool(slices.Contains(owners, a.VM), slices.Contains(owners, b.VM)),
				compareBool(used[a.FailureDomain], used[b.FailureDomain]),
				cmp.Compare(a.strain(load(a.VM)), b.strain(load(b.VM))),
				cmp.Compare(score(group, b.VM), score(group, a.VM)),
				cmp.Compare(a.VM, b.VM),
			)
		})
		owners = append(owners, next.VM)
		used[next.FailureDomain] = true
	}
	return owners
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
