package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/internal/fixedseed"
	"trefoilcourse/coord/lease"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 500) }

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestRestoreKeepsEarlierGrantReleased checks that Restore does not revive a grant from before the
// release: the leader may already rely on the release, and a write could be acknowledged although
// the leader counts the term as fenced.
func TestRestoreKeepsEarlierGrantReleased(t *testing.T) {
	is := is.New(t)
	h := &lease.Holder{}
	grants := map[string]lease.Grant{"g": {Term: 3, Connections: 5}}
	is.True(h.ApplyGrants(at(0), 1, time.Second, grants))
	is.Equal(h.Term(at(10), "g"), uint64(3))
	h.Release("g", 3)
	is.Equal(h.Term(at(20), "g"), uint64(0))
	h.Restore("g")
	is.Equal(h.Term(at(30), "g"), uint64(0))
	is.True(h.ApplyGrants(at(40), 1, time.Second, grants))
	is.Equal(h.Term(at(50), "g"), uint64(3))
}

// TestGrantsOfEarlierLeaderAreRejected guards against a late response of a superseded leader.
func TestGrantsOfEarlierLeaderAreRejected(t *testing.T) {
	is := is.New(t)
	h := &lease.Holder{}
	is.True(h.ApplyGrants(at(0), 7, time.Second, map[string]lease.Grant{"g": {Term: 3, Connections: 5}}))
	is.True(!h.ApplyGrants(at(10), 6, time.Second, nil))
	is.Equal(h.Connections(at(20), "g"), 5)
}

// TestClosingGrantsTermOnlyToHolders checks that a closing group grants its term only to a VM that
// already holds it, and counts as fenced once that VM has given the term up.
func TestClosingGrantsTermOnlyToHolders(t *testing.T) {
	is := is.New(t)
	table := &lease.Table{Duration: time.Second}
	table.StartTerm(at(0))
	now := at(2000)
	table.SetGroup("g", lease.Group{Term: 3, Limit: 30, Owners: []string{"e1", "e2"}})
	is.Equal(table.Renew(now, "e1", "g", lease.Holding{}).Term, uint64(3))
	table.SetGroup("g", lease.Group{Term: 3, Closing: true, Limit: 30, Owners: []string{"e1", "e2"}})
	is.Equal(table.Renew(now, "e2", "g", lease.Holding{}).Term, uint64(0))
	is.Equal(table.Renew(now, "e1", "g", lease.Holding{Term: 3, Connections: 10}).Term, uint64(3))
	is.True(!table.Fenced(now, "g", 3))
	is.Equal(table.Renew(now, "e1", "g", lease.Holding{Connections: 10}).Term, uint64(0))
	is.True(table.Fenced(now, "g", 3))
}

// TestOpenConnectionsStayWithinLimit sums the connections that holders may have open and checks the
// sum against the limit, with random use of the grants, lost responses and changes of leader and
// owners.
func TestOpenConnectionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(6, 120).Draw(t, "limit")
		now := start
		table := &lease.Table{Duration: time.Second}
		table.StartTerm(now)
		vms := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
		holders := map[string]*lease.Holder{}
		open := map[string]int{}
		for _, vm := range vms {
			holders[vm] = &lease.Holder{}
		}
		term := uint64(1)
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			first := rapid.IntRange(0, len(vms)-3).Draw(t, "first")
			table.SetGroup("g", lease.Group{Term: 1, Limit: limit, Owners: vms[first : first+3]})
			vm := rapid.SampledFrom(vms).Draw(t, "vm")
			h := holders[vm]
			allowed := h.Connections(now, "g")
			if now.Before(h.Expiry("g")) {
				open[vm] = min(max(open[vm], allowed), max(allowed, rapid.IntRange(0, limit).Draw(t, "closed to")))
			}
			holding := lease.Holding{Connections: max(open[vm], allowed), Demand: rapid.IntRange(0, 50).Draw(t, "demand")}
			if !now.Before(h.Expiry("g")) {
				holding = lease.Holding{}
			}
			grant := table.Renew(now, vm, "g", holding)
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				h.ApplyGrants(now, term, time.Second, map[string]lease.Grant{"g": grant})
				open[vm] = max(open[vm], grant.Connections)
			}
			if rapid.IntRange(0, 15).Draw(t, "new leader") == 0 {
				term++
				table = &lease.Table{Duration: time.Second}
				table.StartTerm(now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "time")) * time.Millisecond)
			sum := 0
			for _, vm := range vms {
				if now.Before(holders[vm].Expiry("g")) {
					sum += open[vm]
				} else {
					open[vm] = 0
				}
			}
			if sum > limit {
				t.Fatalf("step %d: %d connections are open, the limit is %d", i, sum, limit)
			}
		}
	})
}

// TestConnectionSharesFollowDemand checks that an owner with more demand gets a larger share while
// the others keep their minimum.
func TestConnectionSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	table := &lease.Table{Duration: time.Second}
	table.StartTerm(at(0))
	owners := []string{"e1", "e2", "e3"}
	table.SetGroup("g", lease.Group{Term: 1, Limit: 45, Owners: owners})
	connections := map[string]int{}
	for i := range 20 {
		now := at(2000 + 100*i)
		for _, vm := range owners {
			demand := 0
			if vm == "e1" {
				demand = 40
			}
			grant := table.Renew(now, vm, "g", lease.Holding{Term: 1, Connections: connections[vm], Demand: demand})
			connections[vm] = grant.Connections
		}
	}
	is.True(connections["e1"] > 20)
	is.True(connections["e2"] >= 7)
	is.True(connections["e1"]+connections["e2"]+connections["e3"] <= 45)
}
