package place_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/internal/fixedseed"
	"trefoilcourse/coord/place"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 100) }

func members(count, domains int) []place.Member {
	var all []place.Member
	for i := range count {
		all = append(all, place.Member{VM: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)})
	}
	return all
}

// TestOneVMMovesOnlyItsOwn: when a VM goes, groups that it did not own keep their owners, and
// the others keep the owners that stay unless the failure domains ask otherwise.
func TestOneVMMovesOnlyItsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(4, 40).Draw(t, "vms"), rapid.IntRange(1, 7).Draw(t, "domains"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(all), gone, gone+1)
		for g := range 50 {
			name := fmt.Sprintf("group-%d", g)
			before := place.Owners(name, all, 3)
			after := place.Owners(name, rest, 3)
			if !slices.Contains(before, all[gone].VM) && !slices.Equal(before, after) {
				t.Fatalf("%s moved from %v to %v although %s owned nothing of it", name, before, after, all[gone].VM)
			}
		}
	})
}

// naive sorts all VMs, by a hash library's sum, and takes them in order, domains first.
func naive(group string, all []place.Member, count int) []string {
	ranked := slices.Clone(all)
	score := func(vm string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(group + "\x00" + vm))
		x := h.Sum64()
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		return x ^ x>>31
	}
	slices.SortFunc(ranked, func(a, b place.Member) int { return cmp.Compare(score(b.VM), score(a.VM)) })
	var owners []string
	used := map[string]bool{}
	for round := range 2 {
		for _, m := range ranked {
			taken := slices.Contains(owners, m.VM) || round == 0 && used[m.FailureDomain]
			if len(owners) < count && !taken {
				owners = append(owners, m.VM)
				used[m.FailureDomain] = true
			}
		}
	}
	return owners
}

func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(0, 30).Draw(t, "vms"), rapid.IntRange(1, 7).Draw(t, "domains"))
		count := rapid.IntRange(1, 5).Draw(t, "count")
		group := rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "group")
		got, want := place.Owners(group, all, count), naive(group, all, count)
		if !slices.Equal(got, want) {
			t.Fatalf("owners are %v; sorting gives %v", got, want)
		}
	})
}

// TestDomains: owners share a failure domain only when there are too few.
func TestDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		all := members(rapid.IntRange(7, 40).Draw(t, "vms"), domains)
		owners := place.Owners("g", all, 3)
		used := map[string]bool{}
		for _, m := range all {
			if slices.Contains(owners, m.VM) {
				used[m.FailureDomain] = true
			}
		}
		if len(owners) != 3 || len(used) != min(3, domains) {
			t.Fatalf("owners %v in %d of %d domains", owners, len(used), domains)
		}
	})
}

// TestBalance: no VM owns much more than its part.
func TestBalance(t *testing.T) {
	all := members(570, 7)
	counts := map[string]int{}
	for g := range 880 {
		for _, vm := range place.Owners(fmt.Sprintf("group-%d", g), all, 3) {
			counts[vm]++
		}
	}
	most := 0
	for _, c := range counts {
		most = max(most, c)
	}
	const fair = 880.0 * 3 / 570
	if float64(most) > 4*fair {
		t.Fatalf("a VM owns %d groups; the fair part is %.1f", most, fair)
	}
}

func BenchmarkOwners(b *testing.B) {
	all := members(570, 7)
	for b.Loop() {
		place.Owners("group-1", all, 3)
	}
}

// TestKeepMovesNothingThatNeedNot has VMs come and go: owners that stay keep what they own, no
// two owners share a failure domain while one is without, and work spreads over the VMs.
func TestKeepMovesNothingThatNeedNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(3, 20).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "domains"))
		domains := map[string]string{}
		for _, m := range all {
			domains[m.VM] = m.FailureDomain
		}
		owned := map[string][]string{}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			up := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all), func(m place.Member) string { return m.VM }).Draw(t, "up")
			loads := map[string]int{}
			for _, g := range []string{"a", "b", "c"} {
				before := owned[g]
				owned[g] = place.StickyOwners(g, up, before, 3, func(vm string) int { return loads[vm] })
				for _, vm := range owned[g] {
					loads[vm]++
				}
				for _, vm := range before {
					stays := slices.ContainsFunc(up, func(m place.Member) bool { return m.VM == vm })
					if stays && !slices.Contains(owned[g], vm) {
						t.Fatalf("%s lost %s, which is up", vm, g)
					}
				}
				if len(owned[g]) != min(3, len(up)) {
					t.Fatalf("%s has %d owners of %d VMs", g, len(owned[g]), len(up))
				}
			}
		}
	})
}

// TestLargeVMsOwnMore: groups go to VMs by what each has left of its processor, so that a VM with
// an eighth of a processor owns one only where those with a half own three.
func TestLargeVMsOwnMore(t *testing.T) {
	is := is.New(t)
	var all []place.Member
	for i := range 40 {
		m := place.Member{VM: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%4), Capacity: 134}
		if i < 8 {
			m.Capacity = 512
		}
		all = append(all, m)
	}
	loads := map[string]int{}
	for g := range 8 {
		for _, vm := range place.StickyOwners(fmt.Sprintf("group-%d", g), all, nil, 3, func(vm string) int { return loads[vm] }) {
			loads[vm]++
		}
	}
	large := 0
	for i := range 8 {
		owned := loads[fmt.Sprintf("e%d", i)]
		is.True(owned == 2 || owned == 3)
		large += owned
	}
	is.True(large >= 22) // of 24; a failure domain may be full
}
