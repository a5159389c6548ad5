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

// naive is a queue as slow as it is plain: rounds over the keys in order of arrival.
type naive struct {
	keys  []string
	lists map[string][]uint64
}

func (n *naive) push(key string, id uint64) {
	if len(n.lists[key]) == 0 {
		n.keys = append(n.keys, key)
	}
	n.lists[key] = append(n.lists[key], id)
}

func (n *naive) next() (uint64, bool) {
	if len(n.keys) == 0 {
		return 0, false
	}
	key := n.keys[0]
	n.keys = n.keys[1:]
	id := n.lists[key][0]
	n.lists[key] = n.lists[key][1:]
	if len(n.lists[key]) > 0 {
		n.keys = append(n.keys, key)
	}
	return id, true
}

func (n *naive) drop(id uint64) {
	for key, list := range n.lists {
		if i := slices.Index(list, id); i >= 0 {
			n.lists[key] = slices.Delete(list, i, i+1)
		}
	}
}

// TestAgainstNaive: the queue's order is that of a plain round robin, and every request comes
// out exactly once: run, dropped, or refused when it was pushed.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &admit.Queue{Limit: rapid.IntRange(1, 12).Draw(t, "limit"), Workers: 2}
		n := &naive{lists: map[string][]uint64{}}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			if rapid.IntRange(0, 2).Draw(t, "pop") == 0 {
				r, _, ok := q.Next(start)
				want, wantOK := n.next()
				if ok != wantOK || r.ID != want {
					t.Fatalf("next is %d, %v; a round robin gives %d, %v", r.ID, ok, want, wantOK)
				}
				continue
			}
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			verdict, dropped := q.Push(start, admit.Request{ID: id, Key: key, Deadline: start.Add(time.Hour)})
			for _, d := range dropped {
				n.drop(d.ID)
			}
			if verdict == admit.Queued {
				n.push(key, id)
			}
			if q.Len() > q.Limit {
				t.Fatalf("%d wait; the limit is %d", q.Len(), q.Limit)
			}
		}
	})
}

// TestFloodIsHeldToItsShare: a key that floods cannot keep another from its turn.
func TestFloodIsHeldToItsShare(t *testing.T) {
	is := is.New(t)
	q := &admit.Queue{Limit: 20, Workers: 1}
	for id := range uint64(100) {
		q.Push(start, admit.Request{ID: id, Key: "flood", Deadline: start.Add(time.Hour)})
	}
	verdict, dropped := q.Push(start, admit.Request{ID: 1000, Key: "clerk", Deadline: start.Add(time.Hour)})
	is.Equal(verdict, admit.Queued)
	is.Equal(len(dropped), 1)
	q.Next(start)
	r, _, _ := q.Next(start)
	is.Equal(r.ID, uint64(1000))
}

// goodput runs a load on workers in virtual time and returns the requests a second that were
// answered before their deadline.
func goodput(load float64, early bool) float64 {
	const (
		workers  = 10
		service  = 10 * time.Millisecond
		deadline = 200 * time.Millisecond
		duration = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := &admit.Queue{Limit: workers * 8, Workers: workers}
	if !early {
		q.Limit = 1 << 30
	}
	free := make([]time.Time, workers)
	now, good, id := start, 0, uint64(0)
	rate := load * workers * float64(time.Second) / float64(service)
	for now.Sub(start) < duration {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		id++
		r := admit.Request{ID: id, Key: fmt.Sprint(id % 7), Deadline: now.Add(deadline)}
		if early {
			q.Push(now, r)
		} else {
			r.Deadline = now.Add(time.Hour)
			q.Push(now, r)
		}
		for w := range free {
			for free[w].Before(now) && q.Len() > 0 {
				begun := now
				next, _, ok := q.Next(begun)
				if !ok {
					break
				}
				took := time.Duration(random.ExpFloat64() * float64(service))
				free[w] = begun.Add(took)
				limit := next.Deadline
				if !early {
					limit = next.Deadline.Add(deadline - time.Hour)
				}
				if early {
					q.ObserveServiceTime(took)
				}
				if !free[w].After(limit) {
					good++
				}
			}
		}
	}
	return float64(good) / duration.Seconds()
}

// TestGoodputUnderOverload: at five times the capacity at least 80% of the peak is still
// answered in time, where a plain unbounded queue collapses.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	peak := 0.0
	for _, load := range []float64{0.8, 1, 2, 5} {
		peak = max(peak, goodput(load, true))
		t.Logf("load %.1f: goodput %.0f/s, with a plain queue %.0f/s", load, goodput(load, true), goodput(load, false))
	}
	is.True(goodput(5, true) >= 0.8*peak)
	is.True(goodput(5, false) < 0.2*peak) // the naive version shows that the load is one
}
