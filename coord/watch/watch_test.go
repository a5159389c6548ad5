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

func group() watch.GroupConfig {
	return watch.GroupConfig{SlotCount: 3, PrimarySlot: "a", HoldsLease: true, Admitted: map[string]string{"a": "1", "b": "1", "c": "1"}}
}

func report(asked int, offset uint64, b, c uint64) watch.Report {
	return watch.Report{PolledAt: at(asked), IsPrimary: true, Position: pos(offset), Replicas: []watch.Replica{
		{Slot: "b", Incarnation: "1", Flushed: b}, {Slot: "c", Incarnation: "1", Flushed: c},
	}}
}

func started() *watch.PrimaryWatcher {
	w := &watch.PrimaryWatcher{}
	w.StartTerm(at(0), 4)
	return w
}

// TestWaitNeedsMajorityOfALaterPoll: neither a poll sent before the wait nor one replica too few
// ends it.
func TestWaitNeedsMajorityOfALaterPoll(t *testing.T) {
	is := is.New(t)
	w := started()
	id := w.StartWait(at(10), 4, true)
	is.Equal(len(w.HandleReport(at(12), report(9, 100, 100, 100), group())), 0)  // asked before
	is.Equal(len(w.HandleReport(at(14), report(11, 120, 100, 110), group())), 0) // replicas lack it
	done := w.HandleReport(at(16), report(13, 140, 100, 120), group())           // one of two has 120
	is.Equal(done, []watch.WaitResult{{ID: id, Position: pos(120), Acknowledged: pos(120)}})
}

// TestNewcomerDoesNotCount: a server whose data is not known to be that of its slot adds
// nothing to a majority, since its predecessor's promises went with its disk.
func TestNewcomerDoesNotCount(t *testing.T) {
	is := is.New(t)
	w := started()
	w.StartWait(at(10), 4, true)
	r := report(11, 100, 0, 0)
	r.Replicas[0] = watch.Replica{Slot: "b", Incarnation: "2", Flushed: 100}
	is.Equal(len(w.HandleReport(at(12), r, group())), 0)
}

func TestWaitEndsWithItsLease(t *testing.T) {
	is := is.New(t)
	w := started()
	id := w.StartWait(at(10), 4, true)
	floor := w.StartWait(at(10), 0, false)
	is.Equal(w.EndSupersededWaits(4), nil)
	is.Equal(w.EndSupersededWaits(0), []watch.WaitResult{{ID: id, Superseded: true}})
	is.Equal(w.HandleReport(at(12), report(11, 100, 0, 0), group()), []watch.WaitResult{{ID: floor, Position: pos(100), Acknowledged: pos(0)}})
}

func TestHealth(t *testing.T) {
	is := is.New(t)
	w := started()
	judge := func(ms int) watch.Health {
		h, _ := w.Evaluate(at(ms))
		return h
	}
	is.Equal(judge(100), watch.Good)
	is.Equal(judge(900), watch.Good) // in doubt nothing changes
	is.Equal(judge(1100), watch.Unreachable)
	w.HandleReport(at(1200), report(1190, 100, 100, 100), group())
	is.Equal(judge(1210), watch.Good)
	w.StartWait(at(1300), 4, true)
	for ms := 1400; ms <= 3000; ms += 200 {
		w.HandleReport(at(ms), report(ms-10, 200, 100, 100), group())
	}
	is.Equal(judge(3000), watch.Stalled) // it answers, and its replicas get nothing
	w.EndSupersededWaits(0)
	w.HandleReport(at(3100), report(3090, 220, 100, 100), group())
	is.Equal(judge(3110), watch.Stalled) // also when the waits ended with the lease
	w.HandleReport(at(3200), report(3190, 220, 220, 100), group())
	is.Equal(judge(3210), watch.Good)
}

// TestRefused: a VM that answers that no server is there is believed sooner than silence.
func TestRefused(t *testing.T) {
	is := is.New(t)
	w := started()
	w.HandleReport(at(100), report(90, 100, 100, 100), group())
	h, _ := w.Evaluate(at(120))
	is.Equal(h, watch.Good)
	w.RecordRefusal(at(150))
	w.RecordRefusal(at(400))
	h, _ = w.Evaluate(at(600))
	is.Equal(h, watch.Good)
	h, _ = w.Evaluate(at(650))
	is.Equal(h, watch.Unreachable)
	w.HandleReport(at(700), report(690, 100, 100, 100), group())
	h, _ = w.Evaluate(at(1050))
	is.Equal(h, watch.Good)
}

// TestAcknowledgedNeedsEverySlot: what a majority shows covers all acknowledgements only if no
// slot is missing, since the missing one may have been part of an earlier majority.
func TestAcknowledgedNeedsEverySlot(t *testing.T) {
	is := is.New(t)
	w := started()
	w.StartWait(at(10), 0, false)
	is.Equal(w.HandleReport(at(12), report(11, 100, 90, 80), group())[0].Acknowledged, pos(90))
	w.StartWait(at(20), 0, false)
	r := report(21, 100, 90, 80)
	r.Replicas = r.Replicas[1:]
	is.Equal(w.HandleReport(at(22), r, group())[0].Acknowledged, pos(100))
}

// TestFloorNeedsTheLease: a primary that is polled without the lease for its term may have been
// replaced, and what it says covers nothing. A property's seed found a session that began after
// a write of term 2 was acknowledged, with a floor of term 1.
func TestFloorNeedsTheLease(t *testing.T) {
	is := is.New(t)
	w := started()
	w.StartWait(at(10), 0, false)
	g := group()
	g.HoldsLease = false
	is.Equal(len(w.HandleReport(at(12), report(11, 100, 100, 100), g)), 0)
	_, ok := w.History().FloorAt(at(5))
	is.True(!ok)
	is.Equal(len(w.HandleReport(at(14), report(13, 100, 100, 100), group())), 1)
}
