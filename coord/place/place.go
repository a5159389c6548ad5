package place

import (
	"slices"
)

// Member is an entry VM that may own groups.
type Member struct {
	VM            string
	FailureDomain string
	// Capacity is the processor capacity of the VM in thousandths of a core; 0 counts as one core.
	Capacity int
}

// defaultCapacity is the capacity of a VM that reports none: one core.
const defaultCapacity = 1000

// loadAfterAssignment returns the groups per unit of capacity if the VM owns one group more.
func (m Member) loadAfterAssignment(owned int) float64 {
	capacity := m.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	return float64(owned+1) / float64(capacity)
}

// candidate is a member with its rendezvous score for a group.
type candidate struct {
	member Member
	score  uint64
}

// Owners returns up to count VMs for a group, highest score first. Two of them share a failure
// domain only if every domain has an owner.
func Owners(group string, members []Member, count int) []string {
	candidates := make([]candidate, len(members))
	for i, m := range members {
		candidates[i] = candidate{m, rendezvousScore(group, m.VM)}
	}
	var owners []string
	usedDomains := map[string]bool{}
	for len(owners) < count {
		best := -1
		for i := range candidates {
			if !usedDomains[candidates[i].member.FailureDomain] && ranksHigher(candidates, i, best) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		owners = append(owners, candidates[best].member.VM)
		usedDomains[candidates[best].member.FailureDomain] = true
	}
	return fillOwners(owners, candidates, count)
}

// fillOwners adds the candidates with the highest scores that are not owners yet, regardless of
// their failure domains.
func fillOwners(owners []string, candidates []candidate, count int) []string {
	for len(owners) < count {
		best := -1
		for i := range candidates {
			if ranksHigher(candidates, i, best) && !slices.Contains(owners, candidates[i].member.VM) {
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

// ranksHigher reports whether candidate i ranks above candidate best, which is -1 for none.
func ranksHigher(candidates []candidate, i, best int) bool {
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

// rendezvousScore returns the FNV-1a hash of both names with its bits mixed. It does not use
// hash/fnv, which takes two allocations per pair of group and VM, of which there are half a million.
func rendezvousScore(group, vm string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(group) {
		hash = (hash ^ uint64(group[i])) * fnvPrime
	}
	hash *= fnvPrime
	for i := range len(vm) {
		hash = (hash ^ uint64(vm[i])) * fnvPrime
	}
	return mixBits(hash)
}

// mixBits spreads the bits of an FNV hash, in which the last input bytes change only a few bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
