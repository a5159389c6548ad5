package promote_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
)

// strained is an announced group whose owners all find its primary overloaded from 1 s on; its
// replicas have received up to the given offsets, where the primary has 1000.
func strained(b, c uint64) (g *promote.Group, tick func(ms int, fenced bool) []promote.Action) {
	g = group()
	g.Announced = true
	answer := func(slot string, ms int, offset uint64) {
		s := status(slot, "1", ms, 0)
		s.Position = session.Position{Term: 3, Offset: offset}
		g.Answer(s)
	}
	tick = func(ms int, fenced bool) []promote.Action {
		for _, vm := range []string{"e1", "e2", "e3"} {
			g.Observe(at(ms), promote.Observation{VM: vm, Term: g.Primary().Term, Health: promote.Overloaded})
		}
		actions := g.Tick(at(ms), fenced)
		for _, a := range actions {
			for _, slot := range a.Query {
				answer(slot, ms, map[string]uint64{"a": 1000, "b": b, "c": c}[slot])
			}
		}
		return actions
	}
	return g, tick
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
	g, tick := strained(400, 995)
	is.Equal(run(tick, 1000, 2000, false), nil)
	is.Equal(g.State(), promote.Closing)
	chosen := run(tick, 2000, 4000, true)
	is.True(chosen != nil)
	is.Equal(chosen.Slot, "a") // 995 of 1000: what was acknowledged is not given up for speed

	g, tick = strained(400, 1000)
	_ = run(tick, 1000, 2000, false)
	chosen = run(tick, 2000, 4000, true)
	is.Equal(chosen.Slot, "c")
	g.Recorded(at(2100), *chosen)
	g.Answer(promote.Status{Slot: "c", Incarnation: "1", Primary: true, Term: 4, Asked: at(2200)})
	g.Tick(at(2210), true)
	is.Equal(g.State(), promote.Steady)
	is.Equal(run(tick, 2300, 20_000, false), nil)
	is.Equal(g.State(), promote.Steady) // not again while the others catch up
}

// TestNoReliefThatLoses: a primary stays, however much it is asked for, as long as no replica has
// received what it holds; and one owner's word is not enough.
func TestNoReliefThatLoses(t *testing.T) {
	is := is.New(t)
	g, tick := strained(400, 900)
	_ = run(tick, 1000, 6000, false)
	is.Equal(g.State(), promote.Steady)

	g, _ = strained(1000, 1000)
	for ms := 1000; ms < 4000; ms += 20 {
		for vm, health := range map[string]promote.Health{"e1": promote.Overloaded, "e2": promote.Good, "e3": promote.Good} {
			g.Observe(at(ms), promote.Observation{VM: vm, Term: 3, Health: health})
		}
		g.Tick(at(ms), false)
	}
	is.Equal(g.State(), promote.Steady)
}
