package place

import (
	"slices"
)

// Member is an entry VM that may own groups.
type Member struct {
	VM            string
	FailureDomain string
	// Capacity is what the VM may use of a processor, in thousandths; 0 counts as a whole one.
	Capacity int
}

// wholeProcessor is the capacity of a VM that does not tell its own.
const wholeProcessor = 1000

// strain is how much work falls to each part of the VM's capacity if it owns one group more.
func (m Member) strain(owned int) float64 {
	capacity := m.Capacity
	if capacity == 0 {
		capacity = wholeProcessor
	}
	return float64(owned+1) / float64(capacity)
}

type scored struct {
	member Member
	score  uint64
}

// Owners returns up to count VMs for a group, best first, no two in one failure domain while
// there is a domain without one.
func Owners(group string, members []Member, count int) []string {
	candidates := make([]scored, len(members))
	for i, m := range members {
		candidates[i] = scored{m, score(group, m.VM)}
	}
	var owners []string
	used := map[string]bool{}
	for len(owners) < count {
		best := -1
		for i := range candidates {
			if !used[candidates[i].member.FailureDomain] && better(candidates, i, best) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		owners = append(owners, candidates[best].member.VM)
		used[candidates[best].member.FailureDomain] = true
	}
	return fill(owners, candidates, count)
}

// fill adds the best of the candidates that are not owners yet, whatever their domains.
func fill(owners []string, candidates []scored, count int) []string {
	for len(owners) < count {
		best := -1
		for i := range candidates {
			if better(candidates, i, best) && !slices.Contains(owners, candidates[i].member.VM) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		owners = append(owners, candidates[best].member.VM)
	}
	return owners
}

// better reports whether candidate i goes before candidate best; best may be -1 for none.
func better(candidates []scored, i, best int) bool {
	if best < 0 {
		return true
	}
	a, b := candidates[i], candidates[best]
	if a.score != b.score {
		return a.score > b.score
	}
	return a.member.VM < b.member.VM
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// score is the FNV-1a sum of both names, mixed; it is written out to spare two allocations for
// each of half a million pairs.
func score(group, vm string) uint64 {
	sum := uint64(fnvOffset)
	for i := range len(group) {
		sum = (sum ^ uint64(group[i])) * fnvPrime
	}
	sum *= fnvPrime
	for i := range len(vm) {
		sum = (sum ^ uint64(vm[i])) * fnvPrime
	}
	return mix(sum)
}

// mix spreads the bits of an FNV sum, whose last input bytes change few of them.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
