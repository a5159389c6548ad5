package promote_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
)

// strained is an announced group whose replicas b and c have received up to the given offsets, where
// the primary a has 1000; health is what each owner finds from 1 s on.
func strained(b, c uint64, health map[string]promote.Health) (g *promote.Group, tick func(ms int, fenced bool) []promote.Action) {
	g = group()
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

func all(found promote.Health) map[string]promote.Health {
	return map[string]promote.Health{"e1": found, "e2": found, "e3": found}
}

// run lets time pass in steps of 20 ms, and returns what is recorded.
func run(tick func(int, bool) []promote.Action, from, to int, fenced bool) *promote.Primary {
	for ms := from; ms < to; ms += 20 {
		if p := record(tick(ms, fenced)); p != nil {
			return p
		}
	}
	return nil
}

// TestOverloadedPrimaryBecomesAReplica: with every replica too far behind for reads, the primary
// alone is asked for everything. It is handed over to a replica that has received all it holds.
func TestOverloadedPrimaryBecomesAReplica(t *testing.T) {
	is := is.New(t)
	g, tick := strained(400, 995, all(promote.Overloaded))
	is.Equal(run(tick, 1000, 2000, false), nil)
	is.Equal(g.State(), promote.Closing)
	chosen := run(tick, 2000, 4000, true)
	is.True(chosen != nil)
	is.Equal(chosen.Slot, "a") // 995 of 1000: what was acknowledged is not given up for speed

	g, tick = strained(400, 1000, all(promote.Overloaded))
	_ = run(tick, 1000, 2000, false)
	chosen = run(tick, 2000, 4000, true)
	is.Equal(chosen.Slot, "c")
	g.PrimaryRecorded(at(2100), *chosen)
	_ = run(tick, 2200, 4000, true)
	is.Equal(g.State(), promote.Steady)
	_ = run(tick, 4000, 20_000, false)
	is.Equal(g.State(), promote.Steady) // not again while the others catch up
	_ = run(tick, 20_000, 40_000, false)
	is.Equal(g.State(), promote.Closing) // they have not
}

// TestNoReliefThatLoses: a primary stays, however much it is asked for, as long as no replica has
// received what it holds; and one owner's word is not enough.
func TestNoReliefThatLoses(t *testing.T) {
	is := is.New(t)
	g, tick := strained(400, 900, all(promote.Overloaded))
	_ = run(tick, 1000, 6000, false)
	is.Equal(g.State(), promote.Steady)

	g, tick = strained(1000, 1000, map[string]promote.Health{"e1": promote.Overloaded, "e2": promote.Good, "e3": promote.Good})
	_ = run(tick, 1000, 6000, false)
	is.Equal(g.State(), promote.Steady)
}
