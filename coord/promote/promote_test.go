package promote_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func recorded() promote.Primary {
	return promote.Primary{Term: 3, Slot: "a", Incarnations: map[string]string{"a": "1", "b": "1", "c": "1"}}
}

func group() *promote.Group {
	g := &promote.Group{Name: "g", Slots: []string{"a", "b", "c"}}
	g.Restart(at(0), recorded())
	g.SetOwners(map[string]string{"e1": "d1", "e2": "d2", "e3": "d3"})
	return g
}

func status(slot, incarnation string, ms int, offset uint64) promote.Status {
	return promote.Status{
		Slot: slot, Incarnation: incarnation, Term: 3, Primary: slot == "a", HasMajority: true, QueriedAt: at(ms),
		Position: session.Position{Term: 3, Offset: offset},
	}
}

func suspect(g *promote.Group, ms int, vms ...string) {
	domains := map[string]string{"e1": "d1", "e2": "d2", "e3": "d3"}
	for _, vm := range vms {
		g.Observe(at(ms), promote.Observation{VM: vm, FailureDomain: domains[vm], Term: 3, Health: promote.Unreachable})
	}
}

func record(actions []promote.Action) *promote.Primary {
	for _, a := range actions {
		if a.Record != nil {
			return a.Record
		}
	}
	return nil
}

func TestOneOwnerDeposesNobody(t *testing.T) {
	is := is.New(t)
	g := group()
	suspect(g, 10, "e1")
	g.Tick(at(20), false)
	is.Equal(g.State(), promote.Steady)
}

func TestOldFindingsDoNotAddUp(t *testing.T) {
	is := is.New(t)
	g := group()
	suspect(g, 10, "e1")
	suspect(g, 5000, "e2")
	g.Tick(at(5010), false)
	is.Equal(g.State(), promote.Steady)
}

// TestHealthyPrimaryStays: a primary that answers well itself is left in place.
func TestHealthyPrimaryStays(t *testing.T) {
	is := is.New(t)
	g := group()
	suspect(g, 10, "e1", "e2")
	g.Tick(at(20), false)
	is.Equal(g.State(), promote.Checking)
	g.UpdateStatus(status("a", "1", 25, 100))
	g.Tick(at(30), false)
	is.Equal(g.State(), promote.Steady)
	is.Equal(g.AckTerm(), uint64(3))
}

// TestDeposedPrimaryIsReplaced goes through fencing and takes the highest of a majority.
func TestDeposedPrimaryIsReplaced(t *testing.T) {
	is := is.New(t)
	g := group()
	suspect(g, 10, "e1", "e2")
	g.Tick(at(20), false)
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(25)}) // it refuses connections
	g.Tick(at(30), false)
	is.Equal(g.State(), promote.Fencing)
	is.Equal(g.AckTerm(), uint64(0))
	g.Tick(at(40), false)
	is.Equal(g.State(), promote.Fencing) // owners may still acknowledge
	g.Tick(at(50), true)
	is.Equal(g.State(), promote.Choosing)
	g.UpdateStatus(status("b", "1", 40, 500)) // asked before fencing had ended
	g.UpdateStatus(status("c", "1", 60, 300))
	is.Equal(record(g.Tick(at(400), true)), nil)
	g.UpdateStatus(status("b", "1", 410, 200))
	chosen := record(g.Tick(at(420), true))
	is.True(chosen != nil)
	is.Equal(chosen.Slot, "c")
	is.Equal(chosen.Term, uint64(4))
	g.PrimaryRecorded(at(430), *chosen)
	is.Equal(g.State(), promote.Ordering)
}

// TestFreshServerIsNeverChosen: a wiped server does not count, also not towards the majority.
func TestFreshServerIsNeverChosen(t *testing.T) {
	is := is.New(t)
	g := group()
	suspect(g, 10, "e1", "e2")
	g.Tick(at(20), false)
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(25)})
	g.Tick(at(30), false)
	g.Tick(at(50), true)
	g.UpdateStatus(status("b", "2", 60, 900))
	g.UpdateStatus(status("c", "1", 60, 300))
	is.Equal(record(g.Tick(at(400), true)), nil)
	is.True(g.Note() != "") // it says what it waits for
	is.NoErr(g.ForceFailover(at(410), "", true))
	chosen := record(g.Tick(at(420), true))
	is.Equal(chosen.Slot, "c") // with loss accepted, the one that kept its promise
}

// TestAdmissionNeedsTheMark: a newcomer counts only with all that the primary had, asked after
// the newcomer was first seen.
func TestAdmissionNeedsTheMark(t *testing.T) {
	is := is.New(t)
	g := group()
	g.UpdateStatus(status("a", "1", 0, 1000))
	g.UpdateStatus(status("b", "2", 0, 999))
	g.UpdateAnnouncement(promote.Status{Slot: "b", Incarnation: "2", Term: 3, QueriedAt: at(0)})
	is.Equal(record(g.Tick(at(10), false)), nil) // first seen
	g.UpdateStatus(status("b", "2", 1015, 1000))
	is.Equal(record(g.Tick(at(1020), false)), nil) // the primary's position is older than that
	g.UpdateStatus(status("a", "1", 1500, 2000))
	is.Equal(record(g.Tick(at(2030), false)), nil) // the mark is 2000
	g.UpdateStatus(status("b", "2", 2900, 1999))
	is.Equal(record(g.Tick(at(3040), false)), nil)
	g.UpdateStatus(status("b", "2", 3900, 2000))
	admitted := record(g.Tick(at(4050), false))
	is.True(admitted != nil)
	is.Equal(admitted.Incarnations["b"], "2")
	is.Equal(admitted.Term, uint64(3))
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	is := is.New(t)
	g := group()
	for _, slot := range []string{"a", "b", "c"} {
		a := status(slot, "1", 0, 100)
		a.Leaving = slot == "a"
		g.UpdateAnnouncement(a)
	}
	g.Tick(at(10), false)
	is.Equal(g.State(), promote.Closing)
	is.Equal(g.AckTerm(), uint64(3)) // what was begun may be finished
	g.Tick(at(20), true)
	is.Equal(g.State(), promote.Choosing)
}

// TestOwnersLostWithThePrimary has two of three owners killed in the same instant as the primary.
// The third is enough to have it checked; a primary that answers the leader stays all the same.
func TestOwnersLostWithThePrimary(t *testing.T) {
	is := is.New(t)
	announced := func() *promote.Group {
		g := group()
		g.Announced = true
		for _, vm := range []string{"e1", "e2", "e3"} {
			g.Observe(at(0), promote.Observation{VM: vm, Term: 3, Health: promote.Good})
		}
		suspect(g, 1000, "e1")
		g.Tick(at(1010), false)
		is.Equal(g.State(), promote.Steady) // the others were heard a second ago
		suspect(g, 1600, "e1")
		g.Tick(at(1610), false)
		is.Equal(g.State(), promote.Checking)
		return g
	}
	g := announced()
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(1620)})
	g.Tick(at(1630), false)
	is.Equal(g.State(), promote.Fencing)

	g = announced()
	g.UpdateStatus(status("a", "1", 1620, 100))
	g.Tick(at(1630), false)
	is.Equal(g.State(), promote.Steady)
}
