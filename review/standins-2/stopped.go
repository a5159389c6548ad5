package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopped"] = runStopped }

// attempt is one request of a consumer.
type attempt struct {
	id             string
	sent, answered time.Duration
	err            error
}

// runStopped stops a machine with SIGTERM while consumers on it send one operation after the other.
func runStopped(r *record) error {
	const (
		grace     = 6 * time.Second
		excused   = 3 * time.Second
		consumers = 24
	)
	i, err := install(r, 4, 3, nil)
	if i != nil {
		defer i.stop()
	}
	if err != nil {
		return err
	}
	i.service.work = 40 * time.Millisecond
	if err := i.operator.publish(r, configuration(1, "cilt-ledger", nil), 20*time.Second); err != nil {
		return err
	}
	if err := i.serves("u3f1", 20*time.Second); err != nil {
		return err
	}
	// This machine has no disk and no control process, so that the core stays stable.
	m := i.machines[3]
	var mu sync.Mutex
	var attempts []attempt
	end := make(chan struct{})
	var running sync.WaitGroup
	for n := range consumers {
		c, first, err := dialConsumer(r, fmt.Sprintf("consumer %d", n), i.front(m), "lookup", "u3f1")
		if c == nil {
			return fmt.Errorf("a consumer cannot connect: %q %v", first, err)
		}
		running.Go(func() {
			defer c.close()
			for {
				select {
				case <-end:
					return
				default:
				}
				a := attempt{id: newID(), sent: r.now()}
				_, a.err = c.query(a.id, "READ 7", 2*time.Second)
				a.answered = r.now()
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				if a.err != nil {
					r.say("%s: the connection ends without an answer to %s: %v", c.name, a.id, a.err)
					return
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	stopped := r.now()
	if trouble() {
		r.say("SIGTERM to entry on %s", m.name)
		m.processes["entry"].signal(syscall.SIGTERM)
	}
	time.Sleep(grace + time.Second)
	close(end)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	served, cut := 0, 0
	for _, a := range attempts {
		if a.sent < stopped {
			continue
		}
		if a.err == nil {
			served++
			continue
		}
		if a.sent > stopped+excused && i.ran(a.id) {
			cut++
			r.say("%s was sent %v after the SIGTERM, reached a database, and its connection ended without an answer", a.id, (a.sent - stopped).Round(time.Millisecond))
		}
	}
	r.say("%d requests were served after the moment of the SIGTERM, %d were cut", served, cut)
	if cut > 0 {
		return fmt.Errorf("%w: LOST: %d requests ended without an answer around a SIGTERM", errBroken, cut)
	}
	return nil
}
