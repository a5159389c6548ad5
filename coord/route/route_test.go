package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/internal/fixedseed"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 300) }

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func pos(offset uint64) session.Position { return session.Position{Term: 2, Offset: offset} }

// TestFloorCoversCommits checks against the whole commit history, with thinned samples, that
// FloorAt covers every commit before the given time and that Age never understates staleness.
func TestFloorCoversCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h route.PositionHistory
		committed := []uint64{0}
		for ms := 1; ms < rapid.IntRange(10, 3000).Draw(t, "length"); ms++ {
			committed = append(committed, committed[ms-1]+uint64(rapid.IntRange(0, 3).Draw(t, "commits")))
			if rapid.IntRange(0, 2).Draw(t, "poll") == 0 {
				h.Record(at(ms), pos(committed[ms]))
			}
		}
		for range 20 {
			ms := rapid.IntRange(0, len(committed)-1).Draw(t, "at")
			floor, ok := h.FloorAt(at(ms))
			if ok && floor.Offset < committed[ms] {
				t.Fatalf("floor at %d ms is %d, but offset %d was committed", ms, floor.Offset, committed[ms])
			}
			age, ok := h.Age(at(len(committed)), pos(committed[ms]))
			if !ok {
				continue
			}
			proven := len(committed) - int(age/time.Millisecond)
			if proven < len(committed) && committed[proven] > committed[ms] {
				t.Fatalf("age of a replica at offset %d is %v, but offset %d was committed by then", committed[ms], age, committed[proven])
			}
		}
	})
}

func TestRankReplicas(t *testing.T) {
	is := is.New(t)
	var h route.PositionHistory
	h.Record(at(0), pos(100))
	h.Record(at(90), pos(200))
	servers := []route.Server{
		{Slot: "near", FailureDomain: "d1", Replayed: pos(200), ReportedAt: at(95)},
		{Slot: "far", FailureDomain: "d2", Replayed: pos(200), ReportedAt: at(95)},
		{Slot: "leaving", FailureDomain: "d1", Replayed: pos(200), ReportedAt: at(95), Leaving: true},
		{Slot: "behind", FailureDomain: "d1", Replayed: pos(100), ReportedAt: at(95), Lag: 25 * time.Millisecond},
		{Slot: "far-behind", FailureDomain: "d1", Replayed: pos(10), ReportedAt: at(95), Lag: time.Second},
		{Slot: "unheard", FailureDomain: "d1", Replayed: pos(200), ReportedAt: at(-5000)},
		{Slot: "other-term", FailureDomain: "d1", Replayed: session.Position{Term: 1, Offset: 900}, ReportedAt: at(95)},
	}
	slotsOf := func(candidates []route.Candidate) (slots []string) {
		for _, c := range candidates {
			slots = append(slots, c.Slot)
		}
		return slots
	}
	request := route.Request{Floor: pos(200), Term: 2, FailureDomain: "d1", MaxWait: 20 * time.Millisecond}
	is.Equal(slotsOf(route.RankReplicas(at(100), &h, servers, request)), []string{"near", "far", "behind"})
	servers[0].InFlight = 40
	is.Equal(slotsOf(route.RankReplicas(at(100), &h, servers, request))[0], "far") // 40 requests in flight cost more than crossing domains
	request.Floor = session.Position{Term: 3}
	is.Equal(len(route.RankReplicas(at(100), &h, servers, request)), 0) // a floor of a later term needs the primary
}
