package place

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Member is an entry VM that may own groups.
type Member struct {
	VM            string
	FailureDomain string
}

type scored struct {
	member Member
	score  uint64
}

// Owners returns up to count VMs for a group, best first, no two in one failure domain while
// there is a domain without one.
func Owners(group string, members []Member, count int) []string {
	ranked := rank(group, members)
	var owners []string
	used := map[string]bool{}
	for _, s := range ranked {
		if len(owners) < count && !used[s.member.FailureDomain] {
			used[s.member.FailureDomain] = true
			owners = append(owners, s.member.VM)
		}
	}
	for _, s := range ranked {
		if len(owners) < count && !slices.Contains(owners, s.member.VM) {
			owners = append(owners, s.member.VM)
		}
	}
	return owners
}

func rank(group string, members []Member) []scored {
	ranked := make([]scored, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, scored{m, score(group, m.VM)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.member.VM, b.member.VM)
	})
	return ranked
}

func score(group, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(group))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV sum, whose last input bytes change few of them.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
