package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/admit"
	"trefoilcourse/coord/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 300) }

var start = time.Unix(1000, 0)

// roundRobin is a reference model of the queue: it serves the keys in turn, in order of arrival.
type roundRobin struct {
	rotation []string
	waiting  map[string][]uint64
}

func (n *roundRobin) push(key string, id uint64) {
	if len(n.waiting[key]) == 0 {
		n.rotation = append(n.rotation, key)
	}
	n.waiting[key] = append(n.waiting[key], id)
}

func (n *roundRobin) next() (uint64, bool) {
	if len(n.rotation) == 0 {
		return 0, false
	}
	key := n.rotation[0]
	n.rotation = n.rotation[1:]
	id := n.waiting[key][0]
	n.waiting[key] = n.waiting[key][1:]
	if len(n.waiting[key]) > 0 {
		n.rotation = append(n.rotation, key)
	}
	return id, true
}

func (n *roundRobin) drop(id uint64) {
	for key, list := range n.waiting {
		if i := slices.Index(list, id); i >= 0 {
			n.waiting[key] = slices.Delete(list, i, i+1)
		}
	}
}

// TestQueueMatchesRoundRobinModel checks that the queue serves requests in round-robin order and
// that every request leaves it exactly once: run, dropped, or refused by Push.
func TestQueueMatchesRoundRobinModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &admit.Queue{Limit: rapid.IntRange(1, 12).Draw(t, "limit"), Workers: 2}
		model := &roundRobin{waiting: map[string][]uint64{}}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			if rapid.IntRange(0, 2).Draw(t, "pop") == 0 {
				r, _, ok := q.Next(start)
				want, wantOK := model.next()
				if ok != wantOK || r.ID != want {
					t.Fatalf("Next returns %d, %v; the round-robin model returns %d, %v", r.ID, ok, want, wantOK)
				}
				continue
			}
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			decision, dropped := q.Push(start, admit.Request{ID: id, Key: key, Deadline: start.Add(time.Hour)})
			for _, d := range dropped {
				model.drop(d.ID)
			}
			if decision == admit.Queued {
				model.push(key, id)
			}
			if q.Len() > q.Limit {
				t.Fatalf("%d requests wait; the limit is %d", q.Len(), q.Limit)
			}
		}
	})
}

// TestFloodingKeyDoesNotStarveOthers checks that a request of another key runs within one round.
func TestFloodingKeyDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	q := &admit.Queue{Limit: 20, Workers: 1}
	for id := range uint64(100) {
		q.Push(start, admit.Request{ID: id, Key: "flood", Deadline: start.Add(time.Hour)})
	}
	decision, dropped := q.Push(start, admit.Request{ID: 1000, Key: "clerk", Deadline: start.Add(time.Hour)})
	is.Equal(decision, admit.Queued)
	is.Equal(len(dropped), 1)
	q.Next(start)
	r, _, _ := q.Next(start)
	is.Equal(r.ID, uint64(1000))
}

// goodput simulates a load in virtual time and returns the number of requests per second that are
// answered before their deadline; without admission the queue is unbounded and refuses nothing.
func goodput(load float64, admission bool) float64 {
	const (
		workers     = 10
		serviceTime = 10 * time.Millisecond
		deadline    = 200 * time.Millisecond
		duration    = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := &admit.Queue{Limit: workers * 8, Workers: workers}
	if !admission {
		q.Limit = 1 << 30
	}
	freeAt := make([]time.Time, workers)
	now, inTime, id := start, 0, uint64(0)
	rate := load * workers * float64(time.Second) / float64(serviceTime)
	for now.Sub(start) < duration {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		id++
		r := admit.Request{ID: id, Key: fmt.Sprint(id % 7), Deadline: now.Add(deadline)}
		if admission {
			q.Push(now, r)
		} else {
			r.Deadline = now.Add(time.Hour)
			q.Push(now, r)
		}
		for w := range freeAt {
			for freeAt[w].Before(now) && q.Len() > 0 {
				startedAt := now
				next, _, ok := q.Next(startedAt)
				if !ok {
					break
				}
				elapsed := time.Duration(random.ExpFloat64() * float64(serviceTime))
				freeAt[w] = startedAt.Add(elapsed)
				limit := next.Deadline
				if !admission {
					limit = next.Deadline.Add(deadline - time.Hour)
				}
				if admission {
					q.ObserveServiceTime(elapsed)
				}
				if !freeAt[w].After(limit) {
					inTime++
				}
			}
		}
	}
	return float64(inTime) / duration.Seconds()
}

// TestGoodputUnderOverload checks that goodput at five times the capacity stays at 80% of the peak or
// more, while that of an unbounded queue without deadlines collapses.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	peak := 0.0
	for _, load := range []float64{0.8, 1, 2, 5} {
		peak = max(peak, goodput(load, true))
		t.Logf("load %.1f: goodput %.0f/s, with an unbounded queue %.0f/s", load, goodput(load, true), goodput(load, false))
	}
	is.True(goodput(5, true) >= 0.8*peak)
	is.True(goodput(5, false) < 0.2*peak) // shows that the load is an overload
}
