package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/dispatch"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func queue() *dispatch.Queue {
	q := &dispatch.Queue{FailureDomain: "d1"}
	q.SetServers([]dispatch.Server{
		{Slot: "p", FailureDomain: "d1", Limit: 1, Primary: true},
		{Slot: "r", FailureDomain: "d2", Limit: 1},
	})
	return q
}

func TestReadsLeaveThePrimaryToWrites(t *testing.T) {
	is := is.New(t)
	q := queue()
	started, _ := q.Submit(at(0), dispatch.Job{ID: 1, Deadline: at(500)})
	is.Equal(started, []dispatch.Assignment{{JobID: 1, Slot: "r"}})
	started, _ = q.Submit(at(0), dispatch.Job{ID: 2, PrimaryOnly: true, Deadline: at(500)})
	is.Equal(started, []dispatch.Assignment{{JobID: 2, Slot: "p"}})
}

func TestUrgentWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	q := queue()
	_, _ = q.Submit(at(0), dispatch.Job{ID: 1, PrimaryOnly: true, Priority: 1, Deadline: at(500)})
	_, _ = q.Submit(at(0), dispatch.Job{ID: 2, PrimaryOnly: true, Priority: 2, Deadline: at(500)})
	_, _ = q.Submit(at(1), dispatch.Job{ID: 3, PrimaryOnly: true, Priority: 1, Deadline: at(500)})
	_, _ = q.Submit(at(2), dispatch.Job{ID: 4, PrimaryOnly: true, Priority: 1, Deadline: at(500)})
	_, _ = q.Submit(at(3), dispatch.Job{ID: 5, Slot: "p", Priority: 9, Pinned: true, Deadline: at(500)})
	var order []uint64
	for range 4 {
		started, _ := q.Done(at(10), "p", 10*time.Millisecond, true)
		order = append(order, started[0].JobID)
	}
	is.Equal(order, []uint64{5, 3, 4, 2}) // a transaction under way, then priority, then arrival
}

func TestHopelessWorkIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := queue()
	for id := range uint64(60) {
		_, _ = q.Submit(at(0), dispatch.Job{ID: id, PrimaryOnly: true, Deadline: at(5000)})
	}
	_, refused := q.Submit(at(0), dispatch.Job{ID: 99, PrimaryOnly: true, Deadline: at(300)})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, dispatch.DeadlineExceeded)
	is.True(refused[0].Wait > 300*time.Millisecond)
}

func TestFailingReplicaIsLeftAlone(t *testing.T) {
	is := is.New(t)
	q := queue()
	for id := range uint64(2) {
		_, _ = q.Submit(at(0), dispatch.Job{ID: id, Deadline: at(500)})
		_, _ = q.Done(at(1), "r", 0, false)
	}
	started, _ := q.Submit(at(2), dispatch.Job{ID: 7, Deadline: at(500)})
	is.Equal(started, []dispatch.Assignment{{JobID: 7, Slot: "p"}})
	started, _ = q.Submit(at(600), dispatch.Job{ID: 8, Deadline: at(900)})
	is.Equal(started, []dispatch.Assignment{{JobID: 8, Slot: "r"}}) // tried again after a pause
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	q := queue()
	q.SetServers([]dispatch.Server{{Slot: "p", Limit: 1, Primary: true}, {Slot: "r", Limit: 1, Leaving: true}})
	started, _ := q.Submit(at(0), dispatch.Job{ID: 1, Deadline: at(500)})
	is.Equal(started, []dispatch.Assignment{{JobID: 1, Slot: "p"}})
	started, _ = q.Submit(at(0), dispatch.Job{ID: 2, Slot: "r", Pinned: true, Deadline: at(500)})
	is.Equal(started, []dispatch.Assignment{{JobID: 2, Slot: "r"}}) // a transaction there may end
	q.SetServers([]dispatch.Server{{Slot: "p", Limit: 1, Primary: true}})
	_, refused := q.Submit(at(0), dispatch.Job{ID: 3, Slot: "r", Pinned: true, Deadline: at(500)})
	is.Equal(refused[0].Reason, dispatch.NoServer)
}

// TestBacklogAfterAStandstill has callers go on asking while nothing is served for two seconds:
// first come first served would answer each of them late for as long as the backlog lasts.
func TestBacklogAfterAStandstill(t *testing.T) {
	is := is.New(t)
	q := &dispatch.Queue{FailureDomain: "d1"}
	q.SetServers([]dispatch.Server{{Slot: "p", Limit: 1, Primary: true}})
	const work, aim = 10, 200
	running, _ := q.Submit(at(0), dispatch.Job{ID: 1_000_000, PrimaryOnly: true, Deadline: at(60_000)})
	is.Equal(len(running), 1)
	for ms := 0; ms < 2000; ms += 20 {
		_, _ = q.Submit(at(ms), dispatch.Job{ID: uint64(ms), PrimaryOnly: true, Deadline: at(60_000), SoftDeadline: at(ms + aim)})
	}
	inTime, served := 0, 0
	for ms := 2000; ms < 4000; ms += work {
		if ms%20 == 0 {
			_, _ = q.Submit(at(ms), dispatch.Job{ID: uint64(ms), PrimaryOnly: true, Deadline: at(60_000), SoftDeadline: at(ms + aim)})
		}
		started, _ := q.Done(at(ms), "p", work*time.Millisecond, true)
		for _, s := range started {
			served++
			if s.JobID >= 2000 && int(s.JobID)+aim >= ms+work {
				inTime++
			}
		}
	}
	is.True(inTime >= 98)  // of the 100 that came after it
	is.True(served >= 190) // and the late ones meanwhile
}

func TestRefusalsDoNotCountAsService(t *testing.T) {
	is := is.New(t)
	q := queue()
	before := q.ServiceTime("r")
	for range 20 {
		_, _ = q.Submit(at(0), dispatch.Job{ID: 1, Deadline: at(500)})
		_, _ = q.Done(at(1), "r", 0, true)
	}
	is.Equal(q.ServiceTime("r"), before)
}

// TestSustainedOverload has half as much again come in as a server can do, for ten seconds. Work
// that has become late never has its turn, since newer work goes first: held until its time has
// passed, it would be refused with nothing left for another try.
func TestSustainedOverload(t *testing.T) {
	is := is.New(t)
	q := &dispatch.Queue{FailureDomain: "d1"}
	q.SetServers([]dispatch.Server{{Slot: "p", Limit: 1, Primary: true}})
	// The overload shows once work has become late and has been passed over for a while.
	const work, aim, limit, shows = 12, 250, 800, 2000
	inTime, held, refusals := 0, 0, 0
	note := func(ms int, refused []dispatch.Refusal) {
		for _, r := range refused {
			refusals++
			if ms > shows && ms-int(r.JobID) > 2*aim {
				held++
			}
		}
	}
	take := func(ms int, started []dispatch.Assignment) {
		for _, s := range started {
			if ms+work <= int(s.JobID)+aim {
				inTime++
			}
		}
	}
	busyUntil := 0
	for ms := range 10_000 {
		if ms == busyUntil && ms > 0 {
			started, refused := q.Done(at(ms), "p", work*time.Millisecond, true)
			take(ms, started)
			note(ms, refused)
			busyUntil = ms + work*len(started)
		}
		if ms%8 == 0 {
			started, refused := q.Submit(at(ms), dispatch.Job{ID: uint64(ms), PrimaryOnly: true, Deadline: at(ms + limit), SoftDeadline: at(ms + aim)})
			take(ms, started)
			note(ms, refused)
			if len(started) > 0 {
				busyUntil = ms + work*len(started)
			}
		}
	}
	is.True(inTime > 10_000/work*95/100) // the server does nothing but what is in time
	is.True(refusals > 10_000/8/4)
	is.Equal(held, 0)
}

// TestOverloadOfShortAndLongWork has more come in than a server can do, of two kinds: short
// statements whose callers expect an answer soon, and long ones. In the order of arrival both
// kinds would be refused in part, the short ones more often.
func TestOverloadOfShortAndLongWork(t *testing.T) {
	is := is.New(t)
	kinds := []struct{ every, work, aim int }{{14, 10, 250}, {60, 30, 500}}
	const length = 20_000
	run := func(aims bool) (inTime [2]int) {
		q := &dispatch.Queue{FailureDomain: "d1"}
		q.SetServers([]dispatch.Server{{Slot: "p", Limit: 1, Primary: true}})
		busyUntil, running := 0, 0
		start := func(ms int, started []dispatch.Assignment) {
			for _, s := range started {
				kind, came := int(s.JobID)%2, int(s.JobID)/2
				busyUntil, running = ms+kinds[kind].work, kind
				if busyUntil <= came+kinds[kind].aim {
					inTime[kind]++
				}
			}
		}
		for ms := range length {
			if ms == busyUntil && ms > 0 {
				started, _ := q.Done(at(ms), "p", time.Duration(kinds[running].work)*time.Millisecond, true)
				start(ms, started)
			}
			for kind, k := range kinds {
				if ms%k.every != 0 {
					continue
				}
				j := dispatch.Job{ID: uint64(2*ms + kind), PrimaryOnly: true, Deadline: at(ms + 800), SoftDeadline: at(ms + k.aim)}
				if aims {
					j.TargetLatency = time.Duration(k.aim) * time.Millisecond
				}
				started, _ := q.Submit(at(ms), j)
				start(ms, started)
			}
		}
		return inTime
	}
	byArrival, byAim := run(false), run(true)
	t.Log(byArrival, byAim, length/kinds[0].every, length/kinds[1].every)
	is.True(byAim[0] > length/kinds[0].every*95/100)
	is.True(byAim[0]+byAim[1] > byArrival[0]+byArrival[1])
}

// TestInTimeGoesBeforeLateOfAnyKind: what can still be in time goes before what is late, though the
// late one's callers expected their answer sooner; a lower priority still waits.
func TestInTimeGoesBeforeLateOfAnyKind(t *testing.T) {
	is := is.New(t)
	q := &dispatch.Queue{FailureDomain: "d1"}
	q.SetServers([]dispatch.Server{{Slot: "p", Limit: 1, Primary: true}})
	job := func(id uint64, priority, aim, came int) {
		_, _ = q.Submit(at(came), dispatch.Job{
			ID: id, PrimaryOnly: true, Priority: priority, Deadline: at(5000),
			TargetLatency: time.Duration(aim) * time.Millisecond, SoftDeadline: at(came + aim),
		})
	}
	job(1, 0, 1000, 0) // runs
	job(2, 1, 100, 0)
	job(3, 1, 500, 0)
	job(4, 2, 500, 0)
	var order []uint64
	for range 3 {
		started, _ := q.Done(at(200), "p", 10*time.Millisecond, true)
		order = append(order, started[0].JobID)
	}
	is.Equal(order, []uint64{3, 2, 4})
}
