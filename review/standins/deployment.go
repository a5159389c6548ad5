package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const serviceName = "huvo11a"

var (
	fleetsMu sync.Mutex
	fleets   []*fleet
)

func closeFleets() {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	for _, f := range fleets {
		f.close()
	}
	fleets = nil
}

// deployment is a running system with one service of three databases, one in each zone.
type deployment struct {
	*fleet
	group     *group
	databases []*database
}

// deploy starts the project's programs, three databases, the platform and the first configuration.
func deploy(rec *record, root string, withoutDisk, syncReplicas int, work time.Duration) (*deployment, error) {
	f, err := newFleet(rec, root, withoutDisk)
	if err != nil {
		return nil, err
	}
	fleetsMu.Lock()
	fleets = append(fleets, f)
	fleetsMu.Unlock()
	d := &deployment{fleet: f, group: newGroup(rec, serviceName, syncReplicas, work)}
	if err := f.servePlatform(d.group); err != nil {
		return nil, err
	}
	for z := range 3 {
		d.databases = append(d.databases, d.group.add(fmt.Sprintf("i-%c%07x", 'a'+z, 0x3a91c2+z), f.databaseAddress(z+1, 1), fmt.Sprintf("zone-%c", 'a'+z)))
	}
	if err := f.start(); err != nil {
		return nil, err
	}
	return d, nil
}

// begin starts the databases, publishes the configuration and waits until statements are served.
func (d *deployment) begin(syncReplicas int) error {
	for _, s := range d.databases {
		if err := s.start(d.controlAddresses()); err != nil {
			return err
		}
	}
	if err := d.publish(configuration(1, serviceName, syncReplicas), settle); err != nil {
		return err
	}
	if err := d.awaitReady(settle); err != nil {
		return err
	}
	for deadline := time.Now().Add(settle); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		s, err := openSession(d.address(d.machines[0], "front"), "entry-host")
		if err != nil {
			continue
		}
		a, err := s.query(newRequestID(), "READ 1", 2*time.Second)
		s.close()
		if err == nil && a.succeeded() {
			d.rec.say("statements are served")
			return nil
		}
	}
	return errors.New("no statement is served")
}

// tally counts the outcomes of consumers' attempts.
type tally struct {
	mu sync.Mutex
	// acknowledged are the ids of writes that were answered with success.
	acknowledged   map[string]bool
	served, failed int
	stop           atomic.Bool
	consumers      sync.WaitGroup
	// ledger keeps what was sent and answered.
	ledger *ledger
}

// consume runs a consumer that repeats one statement in sessions of its own until the tally stops.
func (d *deployment) consume(t *tally, m *machine, database string, text func(n int) string, writes bool, pause time.Duration) {
	t.consumers.Go(func() {
		var s *session
		for n := 0; !t.stop.Load(); n++ {
			time.Sleep(pause)
			if s == nil {
				opened, err := openSession(d.address(m, "front"), database)
				if err != nil {
					d.rec.add("%s gives no session for %s: %v", m.name, database, err)
					t.note("", false, writes)
					continue
				}
				s = opened
			}
			sent := text(n)
			id, a, err := (&attempt{ledger: t.ledger}).query(s, sent)
			if err != nil {
				d.rec.add("%s gets no answer to %s %s: %v", m.name, id, shortened(sent), err)
			} else {
				d.rec.add("%s answers %s %s: %s", m.name, id, shortened(sent), a)
			}
			t.note(id, err == nil && a.succeeded(), writes)
			if err != nil || a.state != "I" {
				s.close()
				s = nil
			}
		}
		if s != nil {
			s.close()
		}
	})
}

func (t *tally) note(id string, served, writes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !served {
		t.failed++
		return
	}
	t.served++
	if writes {
		t.acknowledged[id] = true
	}
}

func newTally() *tally { return &tally{acknowledged: map[string]bool{}, ledger: newLedger()} }

func (t *tally) counts() (served, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served, t.failed
}

// consumeEverywhere runs a writer and two readers on every machine.
func (d *deployment) consumeEverywhere(t *tally) {
	for i, m := range d.machines {
		d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data%d", 100*i+n%100, n) }, true, 200*time.Millisecond)
		d.consume(t, m, "lookup-host", func(n int) string { return fmt.Sprintf("READ %d", n%600) }, false, 100*time.Millisecond)
		d.consume(t, m, "progress-host", func(n int) string { return fmt.Sprintf("READ %d", n%600) }, false, 100*time.Millisecond)
	}
}

// executeWrites runs a consumer that prepares a write and executes it repeatedly, in sessions of its own, until the tally
// stops.
func (d *deployment) executeWrites(t *tally, m *machine, name string, arguments func(n int) string) {
	t.consumers.Go(func() {
		var s *session
		for n := 0; !t.stop.Load(); n++ {
			time.Sleep(200 * time.Millisecond)
			texts := []string{"EXECUTE " + name + " " + arguments(n)}
			if s == nil {
				opened, err := openSession(d.address(m, "front"), "entry-host")
				if err != nil {
					d.rec.add("%s gives no session: %v", m.name, err)
					continue
				}
				s = opened
				texts = append([]string{"PREPARE " + name + " WRITE q2c"}, texts...)
			}
			for _, text := range texts {
				id, a, err := (&attempt{ledger: t.ledger}).query(s, text)
				d.rec.add("%s answers %s %s: %s %v", m.name, id, shortened(text), a, err)
				t.note(id, err == nil && a.succeeded(), true)
				if err != nil || !a.succeeded() || a.state != "I" {
					s.close()
					s = nil
					break
				}
			}
		}
		if s != nil {
			s.close()
		}
	})
}
