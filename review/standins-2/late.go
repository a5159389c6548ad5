package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

func init() { cases["late"] = runLate }

// runLate replaces a primary as planned while the platform is slow and the database that is to lead next is dark for a while.
func runLate(r *record) error {
	const (
		slowFor  = 4300 * time.Millisecond // how long the platform is slow for calls that arrive
		slowCall = 8 * time.Second         // how long such a call takes
		dark     = 5400 * time.Millisecond
	)
	// The new database, the fourth, starts before the one that it replaces drains.
	databases = 4
	i, err := install(r, 3, 3, nil)
	if i != nil {
		defer i.stop()
	}
	if err != nil {
		return err
	}
	s := i.service
	s.quiet = true
	var slowSince time.Time
	if trouble() {
		s.promoteDelay = func(id string) time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			if slowSince.IsZero() {
				slowSince = time.Now()
				for _, d := range s.databases {
					if d.id == id {
						d.dark = true
						r.say("database %s is dark for %v", id, dark)
						time.AfterFunc(dark, func() {
							s.mu.Lock()
							defer s.mu.Unlock()
							d.dark = false
							r.say("database %s is back, with %d commits", id, len(d.log))
						})
					}
				}
			}
			if time.Since(slowSince) < slowFor {
				return slowCall
			}
			return promoteTime
		}
	}
	if err := i.operator.publish(r, configuration(1, s.name, nil), 20*time.Second); err != nil {
		return err
	}
	if err := i.serves("u3f1", 20*time.Second); err != nil {
		return err
	}
	var mu sync.Mutex
	acked := map[string]time.Duration{}
	end := make(chan struct{})
	var running sync.WaitGroup
	for n := range 9 {
		running.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				c, _, _ := dialConsumer(r, fmt.Sprintf("consumer %d", n), i.front(i.machines[n%3]), "orders", "u3f1")
				if c == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for open := true; open; {
					select {
					case <-end:
						open = false
						continue
					case <-time.After(20 * time.Millisecond):
					}
					id := newID()
					a, err := c.query(id, "WRITE volume-"+id+" "+id, 2*time.Second)
					if err == nil && a.code == "" {
						mu.Lock()
						acked[id] = r.now()
						mu.Unlock()
					}
					open = err == nil
				}
				c.close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	old := s.leader()
	old.state = "draining"
	s.mu.Unlock()
	r.say("the primary %s is to be replaced, and reports draining", old.id)
	// It goes on for drain_ms and a little longer, and ends.
	time.AfterFunc(8*time.Second, func() {
		r.say("%s ends", old.id)
		old.crash()
	})
	time.Sleep(16 * time.Second)
	close(end)
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	final := map[string]bool{}
	for _, e := range s.leader().log {
		final[e.data] = true
	}
	broken, lost := 0, 0
	ids := slices.SortedFunc(maps.Keys(acked), func(a, b string) int { return cmp.Compare(acked[a], acked[b]) })
	for _, id := range ids {
		at := acked[id]
		for _, c := range s.commits[id] {
			r.say("write %s: acknowledged at %.3f s, committed at %s as %s at %.3f s", id, at.Seconds(), c.database, c.position, c.at.Seconds())
			for _, p := range s.promotions {
				if p.position.term > c.position.term && p.at < c.at {
					broken++
					if !final[id] {
						lost++
					}
					r.say("write %s was committed at %s in term %d at %.3f s and acknowledged at %.3f s; %s had led term %d since %.3f s; in the log at the end: %t",
						id, c.database, c.position.term, c.at.Seconds(), at.Seconds(), p.database, p.position.term, p.at.Seconds(), final[id])
				}
			}
		}
	}
	r.say("%d writes were acknowledged, %d of them committed at an old primary after a promote, of which %d are gone", len(acked), broken, lost)
	if broken > 0 {
		return fmt.Errorf("%w: ONE: %d writes were committed at the old primary after a promote had taken effect, and acknowledged; %d of them are gone", errBroken, broken, lost)
	}
	return nil
}
