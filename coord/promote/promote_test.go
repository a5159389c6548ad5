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

func initialPrimary() promote.Primary {
	return promote.Primary{Term: 3, Slot: "a", Incarnations: map[string]string{"a": "1", "b": "1", "c": "1"}}
}

func newGroup() *promote.Group {
	g := &promote.Group{Name: "g", Slots: []string{"a", "b", "c"}}
	g.Restart(at(0), initialPrimary())
	g.SetOwners(map[string]string{"e1": "d1", "e2": "d2", "e3": "d3"})
	return g
}

func newStatus(slot, incarnation string, ms int, offset uint64) promote.Status {
	return promote.Status{
		Slot: slot, Incarnation: incarnation, Term: 3, Primary: slot == "a", HasMajority: true, QueriedAt: at(ms),
		Position: session.Position{Term: 3, Offset: offset},
	}
}

func reportUnreachable(g *promote.Group, ms int, vms ...string) {
	domains := map[string]string{"e1": "d1", "e2": "d2", "e3": "d3"}
	for _, vm := range vms {
		g.Observe(at(ms), promote.Observation{VM: vm, FailureDomain: domains[vm], Term: 3, Health: promote.Unreachable})
	}
}

func recordedPrimary(actions []promote.Action) *promote.Primary {
	for _, a := range actions {
		if a.Record != nil {
			return a.Record
		}
	}
	return nil
}

func TestOneOwnerIsNoMajority(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	reportUnreachable(g, 10, "e1")
	g.Tick(at(20), false)
	is.Equal(g.State(), promote.Steady)
}

func TestExpiredObservationsDoNotCount(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	reportUnreachable(g, 10, "e1")
	reportUnreachable(g, 5000, "e2")
	g.Tick(at(5010), false)
	is.Equal(g.State(), promote.Steady)
}

// TestHealthyPrimaryStays checks that a primary stays if it is healthy by its own status.
func TestHealthyPrimaryStays(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	reportUnreachable(g, 10, "e1", "e2")
	g.Tick(at(20), false)
	is.Equal(g.State(), promote.Checking)
	g.UpdateStatus(newStatus("a", "1", 25, 100))
	g.Tick(at(30), false)
	is.Equal(g.State(), promote.Steady)
	is.Equal(g.AckTerm(), uint64(3))
}

// TestFailedPrimaryIsReplaced checks that fencing ends before the choice, which takes the highest
// position of a majority queried since.
func TestFailedPrimaryIsReplaced(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	reportUnreachable(g, 10, "e1", "e2")
	g.Tick(at(20), false)
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(25)}) // refuses connections
	g.Tick(at(30), false)
	is.Equal(g.State(), promote.Fencing)
	is.Equal(g.AckTerm(), uint64(0))
	g.Tick(at(40), false)
	is.Equal(g.State(), promote.Fencing) // owners may still acknowledge
	g.Tick(at(50), true)
	is.Equal(g.State(), promote.Choosing)
	g.UpdateStatus(newStatus("b", "1", 40, 500)) // queried before fencing ended
	g.UpdateStatus(newStatus("c", "1", 60, 300))
	is.Equal(recordedPrimary(g.Tick(at(400), true)), nil)
	g.UpdateStatus(newStatus("b", "1", 410, 200))
	chosen := recordedPrimary(g.Tick(at(420), true))
	is.True(chosen != nil)
	is.Equal(chosen.Slot, "c")
	is.Equal(chosen.Term, uint64(4))
	g.ApplyRecordedPrimary(at(430), *chosen)
	is.Equal(g.State(), promote.Ordering)
}

// TestWipedServerIsNeverChosen checks that a wiped server is not chosen and does not count towards
// the majority.
func TestWipedServerIsNeverChosen(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	reportUnreachable(g, 10, "e1", "e2")
	g.Tick(at(20), false)
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(25)})
	g.Tick(at(30), false)
	g.Tick(at(50), true)
	g.UpdateStatus(newStatus("b", "2", 60, 900))
	g.UpdateStatus(newStatus("c", "1", 60, 300))
	is.Equal(recordedPrimary(g.Tick(at(400), true)), nil)
	is.True(g.Note() != "") // the note tells the operator what is missing
	is.NoErr(g.ForceFailover(at(410), "", true))
	chosen := recordedPrimary(g.Tick(at(420), true))
	is.Equal(chosen.Slot, "c") // even with loss accepted, not the wiped server
}

// TestAdmissionNeedsTargetPosition checks that a new incarnation is admitted only with everything
// that the primary had when queried after the incarnation was first seen.
func TestAdmissionNeedsTargetPosition(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	g.UpdateStatus(newStatus("a", "1", 0, 1000))
	g.UpdateStatus(newStatus("b", "2", 0, 999))
	g.UpdateAnnouncement(promote.Status{Slot: "b", Incarnation: "2", Term: 3, QueriedAt: at(0)})
	is.Equal(recordedPrimary(g.Tick(at(10), false)), nil) // incarnation first seen
	g.UpdateStatus(newStatus("b", "2", 1015, 1000))
	is.Equal(recordedPrimary(g.Tick(at(1020), false)), nil) // the primary was queried before that
	g.UpdateStatus(newStatus("a", "1", 1500, 2000))
	is.Equal(recordedPrimary(g.Tick(at(2030), false)), nil) // the target position is 2000
	g.UpdateStatus(newStatus("b", "2", 2900, 1999))
	is.Equal(recordedPrimary(g.Tick(at(3040), false)), nil)
	g.UpdateStatus(newStatus("b", "2", 3900, 2000))
	admitted := recordedPrimary(g.Tick(at(4050), false))
	is.True(admitted != nil)
	is.Equal(admitted.Incarnations["b"], "2")
	is.Equal(admitted.Term, uint64(3))
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	is := is.New(t)
	g := newGroup()
	for _, slot := range []string{"a", "b", "c"} {
		a := newStatus(slot, "1", 0, 100)
		a.Leaving = slot == "a"
		g.UpdateAnnouncement(a)
	}
	g.Tick(at(10), false)
	is.Equal(g.State(), promote.Closing)
	is.Equal(g.AckTerm(), uint64(3)) // owners may finish what they began
	g.Tick(at(20), true)
	is.Equal(g.State(), promote.Choosing)
}

// TestOwnersLostWithPrimary guards against a primary that is not checked because two of three
// owners were lost with it: the third is enough to start the check, and a primary that answers
// still stays.
func TestOwnersLostWithPrimary(t *testing.T) {
	is := is.New(t)
	newAnnounced := func() *promote.Group {
		g := newGroup()
		g.Announced = true
		for _, vm := range []string{"e1", "e2", "e3"} {
			g.Observe(at(0), promote.Observation{VM: vm, Term: 3, Health: promote.Good})
		}
		reportUnreachable(g, 1000, "e1")
		g.Tick(at(1010), false)
		is.Equal(g.State(), promote.Steady) // the other owners' observations are still recent
		reportUnreachable(g, 1600, "e1")
		g.Tick(at(1610), false)
		is.Equal(g.State(), promote.Checking)
		return g
	}
	g := newAnnounced()
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(1620)})
	g.Tick(at(1630), false)
	is.Equal(g.State(), promote.Fencing)

	g = newAnnounced()
	g.UpdateStatus(newStatus("a", "1", 1620, 100))
	g.Tick(at(1630), false)
	is.Equal(g.State(), promote.Steady)
}

// newSynchronousGroup returns an announced group whose writes one replica has received before they are
// acknowledged; its primary a is found dead and fenced at 50 ms.
func newSynchronousGroup() *promote.Group {
	g := newGroup()
	g.Announced, g.SynchronousReplicas = true, 1
	g.UpdateStatus(newStatus("a", "1", 5, 100))
	reportUnreachable(g, 10, "e1", "e2", "e3")
	g.Tick(at(20), false)
	g.UpdateStatus(promote.Status{Slot: "a", QueriedAt: at(25)})
	g.Tick(at(30), false)
	g.Tick(at(50), true)
	return g
}

// TestLeavingReplicaWithAcknowledgedWrites guards against a choice that passes over the one replica that has
// received what the primary acknowledged, because it is about to stop.
func TestLeavingReplicaWithAcknowledgedWrites(t *testing.T) {
	is := is.New(t)
	g := newSynchronousGroup()
	leaving := newStatus("b", "1", 40, 300)
	leaving.Leaving = true
	g.UpdateAnnouncement(leaving)
	g.UpdateStatus(newStatus("b", "1", 60, 300))
	g.UpdateStatus(newStatus("c", "1", 60, 200))
	chosen := recordedPrimary(g.Tick(at(400), true))
	is.True(chosen != nil)
	is.Equal(chosen.Slot, "b")

	g = newSynchronousGroup()
	g.UpdateAnnouncement(leaving)
	g.UpdateStatus(newStatus("b", "1", 60, 300))
	g.UpdateStatus(newStatus("c", "1", 60, 300))
	is.Equal(recordedPrimary(g.Tick(at(400), true)).Slot, "c") // it holds as much and stays
}

// TestSlowReplicaWithAcknowledgedWrites guards against a choice without the one replica that has received
// what the primary acknowledged, because it answers late.
func TestSlowReplicaWithAcknowledgedWrites(t *testing.T) {
	is := is.New(t)
	g := newSynchronousGroup()
	g.UpdateStatus(newStatus("c", "1", 60, 200))
	for ms := 400; ms < 5000; ms += 100 {
		is.Equal(recordedPrimary(g.Tick(at(ms), true)), nil)
	}
	is.True(g.Note() != "")
	g.UpdateStatus(newStatus("b", "1", 5000, 300))
	is.Equal(recordedPrimary(g.Tick(at(5010), true)).Slot, "b")

	g = newSynchronousGroup()
	g.UpdateStatus(newStatus("c", "1", 60, 200))
	is.NoErr(g.ForceFailover(at(400), "", true))
	is.Equal(recordedPrimary(g.Tick(at(500), true)).Slot, "c") // an operator accepts the loss

	g = newSynchronousGroup()
	g.UpdateStatus(newStatus("c", "1", 60, 200))
	g.UpdateStatus(newStatus("a", "1", 60, 200))
	is.Equal(recordedPrimary(g.Tick(at(1000), true)).Slot, "c") // as far as the old primary itself
}

// TestLateOrderKeepsAcknowledgedWrites guards against a second choice that passes over the replica that was
// chosen for what it holds and did not lead in time.
func TestLateOrderKeepsAcknowledgedWrites(t *testing.T) {
	is := is.New(t)
	g := newSynchronousGroup()
	replica := func(slot string, ms int, offset uint64) {
		s := newStatus(slot, "1", ms, offset)
		s.Primary = false
		g.UpdateStatus(s)
	}
	replica("b", 60, 300)
	replica("c", 60, 200)
	chosen := recordedPrimary(g.Tick(at(400), true))
	is.Equal(chosen.Slot, "b")
	g.ApplyRecordedPrimary(at(410), *chosen)
	g.Tick(at(420), true)
	g.Tick(at(4500), true) // the order is late
	is.Equal(g.State(), promote.Fencing)
	g.Tick(at(4510), true)
	replica("b", 4520, 300)
	replica("c", 4520, 200)
	is.Equal(recordedPrimary(g.Tick(at(5400), true)).Slot, "b")
}

// TestLatePromotionIsNotReplaced guards against a second server being ordered to lead while the platform may
// still carry out the order for the first: whichever takes effect last rolls back what the other acknowledged.
func TestLatePromotionIsNotReplaced(t *testing.T) {
	is := is.New(t)
	ordering := func() *promote.Group {
		g := newGroup()
		g.Announced = true
		g.ApplyRecordedPrimary(at(0), promote.Primary{Term: 4, Slot: "b", Incarnations: initialPrimary().Incarnations})
		return g
	}
	replica := func(slot string, ms int) promote.Status {
		s := newStatus(slot, "1", ms, 100)
		s.Primary = false
		return s
	}
	g := ordering()
	for ms := 20; ms < 20_000; ms += 20 {
		for _, slot := range []string{"b", "c"} {
			g.UpdateStatus(replica(slot, ms))
		}
		for _, a := range g.Tick(at(ms), true) {
			is.True(a.Record == nil)
			is.True(a.Promote == nil || a.Promote.Slot == "b")
		}
	}
	is.Equal(g.State(), promote.Ordering)
	s := newStatus("b", "1", 20_010, 101)
	s.Primary = true
	g.UpdateStatus(s)
	g.Tick(at(20_020), true)
	is.Equal(g.State(), promote.Steady)

	g = ordering()
	for ms := 20; ms < 8000; ms += 20 {
		if ms < 2000 {
			g.UpdateStatus(replica("b", ms))
		} else {
			g.UpdateStatus(promote.Status{Slot: "b", QueriedAt: at(ms)})
		}
		g.UpdateStatus(replica("c", ms))
		if next := recordedPrimary(g.Tick(at(ms), true)); next != nil {
			is.Equal(next.Slot, "c") // b was lost
			return
		}
	}
	t.Fatal("a server that was lost after its order is not replaced")
}
