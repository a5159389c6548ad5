package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// unreadableHeartbeat: heartbeats from another writer carry an id with bytes that can't be read.
func unreadableHeartbeat(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 0, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	for _, s := range d.databases {
		if err := s.start(d.controlAddresses()); err != nil {
			return false, err
		}
	}
	if err := d.publish(configuration(1, serviceName, 0), settle); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		rec.say("disturbance: another writer sends heartbeats of three databases under ids that can't be read")
		for n := range 3 {
			go d.foreignWriter(n, stop)
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	rec.say("traffic starts")
	t := newTally()
	for i, m := range d.machines {
		d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data%d", 100*i+n%100, n) }, true, 200*time.Millisecond)
		d.consume(t, m, "lookup-host", func(n int) string { return fmt.Sprintf("READ %d", n%600) }, false, 100*time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	t.stop.Store(true)
	t.consumers.Wait()
	served, failed := t.counts()
	core := 0
	for _, m := range d.machines {
		for _, p := range m.processes {
			if n := p.endedByItself(); n > 0 {
				rec.say("process %s/%s ended by itself %d times", m.name, p.role, n)
				if m.disk && n >= 3 {
					core++
				}
			}
		}
	}
	rec.say("%d requests served, %d not; processes of %d of 3 core machines ended by themselves three times", served, failed, core)
	if !trouble && served < 100 {
		return false, errors.New("too few requests were served")
	}
	return served == 0 || core >= 2, nil
}

// foreignWriter sends heartbeats like a database's, under an id that is not text.
func (d *deployment) foreignWriter(n int, stop chan struct{}) {
	time.Sleep(time.Duration(n) * heartbeatInterval / 3)
	c := newCaller()
	addresses := d.controlAddresses()
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "addr": d.databaseAddress(1+n, 9), "zone": fmt.Sprintf("zone-%c", 'a'+n), "version": "v1", "slots": 3, "state": "ready",
			"cold_left_ms": 0, "db_role": "replica", "seq": seq, "born": born,
		})
		for i := range addresses {
			status, _, err := c.call(http.MethodPut, addresses[(seq+i)%len(addresses)], fmt.Sprintf("/trefoilcourse/instances/i-%%FF%%FE%d", n), body)
			d.rec.add("the other writer's heartbeat %d of i-%%FF%%FE%d: status %d, %v", seq, n, status, err)
			if err == nil && (status/100 == 2 || status/100 == 4) {
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
