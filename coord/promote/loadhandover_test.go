package promote_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
)

// newOverloadedGroup returns an announced group whose replicas b and c have received up to the
// given offsets while the primary a has 1000, and a function that ticks it; health is what each
// owner observes.
func newOverloadedGroup(b, c uint64, health map[string]promote.Health) (g *promote.Group, tick func(ms int, fenced bool) []promote.Action) {
	g = newGroup()
	g.Announced = true
	offsets := map[string]uint64{"a": 1000, "b": b, "c": c}
	tick = func(ms int, fenced bool) []promote.Action {
		for vm, found := range health {
			g.Observe(at(ms), promote.Observation{VM: vm, Term: g.Primary().Term, Health: found})
		}
		actions := g.Tick(at(ms), fenced)
		for _, a := range actions {
			for _, slot := range a.Query {
				g.UpdateStatus(promote.Status{
					Slot: slot, Incarnation: "1", Primary: slot == g.Primary().Slot, Term: 3, QueriedAt: at(ms),
					Position: session.Position{Term: 3, Offset: offsets[slot]},
				})
			}
		}
		return actions
	}
	return g, tick
}

func allOwners(found promote.Health) map[string]promote.Health {
	return map[string]promote.Health{"e1": found, "e2": found, "e3": found}
}

// advance advances time in steps of 20 ms and returns the first primary to be recorded.
func advance(tick func(int, bool) []promote.Action, from, to int, fenced bool) *promote.Primary {
	for ms := from; ms < to; ms += 20 {
		if p := recordedPrimary(tick(ms, fenced)); p != nil {
			return p
		}
	}
	return nil
}

// TestOverloadedPrimaryBecomesReplica guards against a primary that serves every read alone because
// all replicas lag in replay: it is handed over to a replica that has received everything.
func TestOverloadedPrimaryBecomesReplica(t *testing.T) {
	is := is.New(t)
	g, tick := newOverloadedGroup(400, 995, allOwners(promote.Overloaded))
	is.Equal(advance(tick, 1000, 2000, false), nil)
	is.Equal(g.State(), promote.Closing)
	chosen := advance(tick, 2000, 4000, true)
	is.True(chosen != nil)
	is.Equal(chosen.Slot, "a") // no replica has more than 995 of 1000, and acknowledged writes are kept

	g, tick = newOverloadedGroup(400, 1000, allOwners(promote.Overloaded))
	_ = advance(tick, 1000, 2000, false)
	chosen = advance(tick, 2000, 4000, true)
	is.Equal(chosen.Slot, "c")
	g.ApplyRecordedPrimary(at(2100), *chosen)
	_ = advance(tick, 2200, 4000, true)
	is.Equal(g.State(), promote.Steady)
	_ = advance(tick, 4000, 20_000, false)
	is.Equal(g.State(), promote.Steady) // no second handover within the interval
	_ = advance(tick, 20_000, 40_000, false)
	is.Equal(g.State(), promote.Closing) // the replicas still lag
}

// TestNoLossyLoadHandover checks that an overloaded primary stays if no replica has received what
// it holds, or if only one owner finds it overloaded.
func TestNoLossyLoadHandover(t *testing.T) {
	is := is.New(t)
	g, tick := newOverloadedGroup(400, 900, allOwners(promote.Overloaded))
	_ = advance(tick, 1000, 6000, false)
	is.Equal(g.State(), promote.Steady)

	g, tick = newOverloadedGroup(1000, 1000, map[string]promote.Health{"e1": promote.Overloaded, "e2": promote.Good, "e3": promote.Good})
	_ = advance(tick, 1000, 6000, false)
	is.Equal(g.State(), promote.Steady)
}
