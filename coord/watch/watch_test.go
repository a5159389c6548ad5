package watch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/watch"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func pos(offset uint64) session.Position { return session.Position{Term: 4, Offset: offset} }

func majorityRules() watch.MajorityRules {
	return watch.MajorityRules{SlotCount: 3, PrimarySlot: "a", HoldsLease: true, Admitted: map[string]string{"a": "1", "b": "1", "c": "1"}}
}

func report(polledAt int, offset uint64, b, c uint64) watch.Report {
	return watch.Report{PolledAt: at(polledAt), IsPrimary: true, Position: pos(offset), Replicas: []watch.Replica{
		{Slot: "b", Incarnation: "1", Flushed: b}, {Slot: "c", Incarnation: "1", Flushed: c},
	}}
}

func newWatcher() *watch.PrimaryWatcher {
	w := &watch.PrimaryWatcher{}
	w.StartTerm(at(0), 4)
	return w
}

// TestWaitNeedsMajorityAfterLaterPoll checks that a wait is not completed by a poll sent before it
// started, nor by one that shows one replica too few.
func TestWaitNeedsMajorityAfterLaterPoll(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	id := w.StartWait(at(10), 4, true)
	is.Equal(len(w.HandleReport(at(12), report(9, 100, 100, 100), majorityRules())), 0)  // polled before the wait
	is.Equal(len(w.HandleReport(at(14), report(11, 120, 100, 110), majorityRules())), 0) // no replica has synced 120
	done := w.HandleReport(at(16), report(13, 140, 100, 120), majorityRules())           // one of two replicas has synced 120
	is.Equal(done, []watch.WaitResult{{ID: id, Position: pos(120), Acknowledged: pos(120)}})
}

// TestUnadmittedReplicaDoesNotCount checks that a server whose incarnation is not admitted adds
// nothing to a majority: the data that its predecessor in the slot had synced was lost with its
// disk.
func TestUnadmittedReplicaDoesNotCount(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	w.StartWait(at(10), 4, true)
	r := report(11, 100, 0, 0)
	r.Replicas[0] = watch.Replica{Slot: "b", Incarnation: "2", Flushed: 100}
	is.Equal(len(w.HandleReport(at(12), r, majorityRules())), 0)
}

func TestWaitEndsWithLease(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	id := w.StartWait(at(10), 4, true)
	floor := w.StartWait(at(10), 0, false)
	is.Equal(w.EndSupersededWaits(4), nil)
	is.Equal(w.EndSupersededWaits(0), []watch.WaitResult{{ID: id, Superseded: true}})
	is.Equal(w.HandleReport(at(12), report(11, 100, 0, 0), majorityRules()), []watch.WaitResult{{ID: floor, Position: pos(100), Acknowledged: pos(0)}})
}

func TestEvaluateHealth(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	evaluate := func(ms int) watch.Health {
		h, _ := w.Evaluate(at(ms))
		return h
	}
	is.Equal(evaluate(100), watch.Good)
	is.Equal(evaluate(900), watch.Good) // unchanged until UnreachableTimeout
	is.Equal(evaluate(1100), watch.Unreachable)
	w.HandleReport(at(1200), report(1190, 100, 100, 100), majorityRules())
	is.Equal(evaluate(1210), watch.Good)
	w.StartWait(at(1300), 4, true)
	for ms := 1400; ms <= 3000; ms += 200 {
		w.HandleReport(at(ms), report(ms-10, 200, 100, 100), majorityRules())
	}
	is.Equal(evaluate(3000), watch.Stalled) // it responds, but its replicas receive nothing
	w.EndSupersededWaits(0)
	w.HandleReport(at(3100), report(3090, 220, 100, 100), majorityRules())
	is.Equal(evaluate(3110), watch.Stalled) // also after the waits ended with the lease
	w.HandleReport(at(3200), report(3190, 220, 220, 100), majorityRules())
	is.Equal(evaluate(3210), watch.Good)
}

// TestRefusedPrimaryIsUnreachable checks that refused connections make a primary unreachable sooner
// than missing responses do.
func TestRefusedPrimaryIsUnreachable(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	w.HandleReport(at(100), report(90, 100, 100, 100), majorityRules())
	h, _ := w.Evaluate(at(120))
	is.Equal(h, watch.Good)
	w.RecordRefusal(at(150))
	w.RecordRefusal(at(400))
	h, _ = w.Evaluate(at(600))
	is.Equal(h, watch.Good)
	h, _ = w.Evaluate(at(650))
	is.Equal(h, watch.Unreachable)
	w.HandleReport(at(700), report(690, 100, 100, 100), majorityRules())
	h, _ = w.Evaluate(at(1050))
	is.Equal(h, watch.Good)
}

// TestAcknowledgedNeedsEverySlot checks that the majority position covers all acknowledgements only
// if the poll showed every slot, since a missing one may have been part of an earlier majority.
func TestAcknowledgedNeedsEverySlot(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	w.StartWait(at(10), 0, false)
	is.Equal(w.HandleReport(at(12), report(11, 100, 90, 80), majorityRules())[0].Acknowledged, pos(90))
	w.StartWait(at(20), 0, false)
	r := report(21, 100, 90, 80)
	r.Replicas = r.Replicas[1:]
	is.Equal(w.HandleReport(at(22), r, majorityRules())[0].Acknowledged, pos(100))
}

// TestFloorNeedsLease guards against a floor from a primary that was polled without the lease for
// its term and may have been replaced: a property test found a session that began after a write of
// term 2 was acknowledged, with a floor of term 1.
func TestFloorNeedsLease(t *testing.T) {
	is := is.New(t)
	w := newWatcher()
	w.StartWait(at(10), 0, false)
	g := majorityRules()
	g.HoldsLease = false
	is.Equal(len(w.HandleReport(at(12), report(11, 100, 100, 100), g)), 0)
	_, ok := w.History().FloorAt(at(5))
	is.True(!ok)
	is.Equal(len(w.HandleReport(at(14), report(13, 100, 100, 100), majorityRules())), 1)
}
