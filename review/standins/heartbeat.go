package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

func (d *database) beat(control []string, stop chan struct{}) {
	c := newCaller()
	target, next := "", rand.IntN(len(control))
	wasDraining := false
	for {
		d.group.mu.Lock()
		d.seq++
		state, role := "ready", "replica"
		if d.draining {
			state = "draining"
		}
		if d.primary {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"service": d.group.name, "addr": d.addr, "zone": d.zone, "version": "v1", "slots": cap(d.slots), "state": state,
			"cold_left_ms": 0, "db_role": role, "seq": d.seq, "born": d.born,
		})
		d.group.mu.Unlock()
		for range control {
			address := target
			if address == "" {
				next++
				address = control[next%len(control)]
			}
			status, answer, err := c.call(http.MethodPut, address, "/trefoilcourse/instances/"+d.id, body)
			if err != nil || status/100 != 2 {
				target = ""
				continue
			}
			var reply struct {
				Address string `json:"heartbeat_addr"`
			}
			if json.Unmarshal(answer, &reply) == nil && reply.Address != "" {
				target = reply.Address
			}
			if state == "draining" && !wasDraining {
				wasDraining = true
				d.group.mu.Lock()
				d.drainAcked = time.Now()
				d.group.mu.Unlock()
				d.group.rec.say("%s: draining is acknowledged", d.id)
			}
			break
		}
		for end := time.Now().Add(heartbeatInterval); time.Now().Before(end); {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			// A change of role or state is reported immediately.
			d.group.mu.Lock()
			changed := (role == "primary") != d.primary || (state == "draining") != d.draining
			d.group.mu.Unlock()
			if changed {
				break
			}
		}
	}
}
