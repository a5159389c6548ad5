package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
			id := newRequestID()
			sent := text(n)
			a, err := s.query(id, sent, 3*time.Second)
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

func newTally() *tally { return &tally{acknowledged: map[string]bool{}} }

func (t *tally) counts() (served, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served, t.failed
}

// watchPromotes notes, for each promote, the acknowledged writes that the log of the promoted database
// lacks.
func (d *deployment) watchPromotes(t *tally) *[]string {
	missing := &[]string{}
	d.group.promoted = func(s *database, log []commit) {
		kept := map[string]bool{}
		for _, c := range log {
			for _, id := range c.ids {
				kept[id] = true
			}
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		lost := 0
		for id := range t.acknowledged {
			if !kept[id] {
				*missing = append(*missing, id)
				d.rec.add("LOST: the acknowledged write %s is not in the log of %s", id, s.id)
				lost++
			}
		}
		d.rec.say("%s is promoted; %d of %d acknowledged writes are not in its log", s.id, lost, len(t.acknowledged))
	}
	return missing
}

// leavingReplica: with sync_replicas 1, a replica that leaves holds the latest commits, the other
// replica receives nothing for a while, and meanwhile the primary crashes.
func leavingReplica(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 1, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(1); err != nil {
		return false, err
	}
	t := newTally()
	missing := d.watchPromotes(t)
	for i, m := range d.machines {
		d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data%d", 100*i+n%100, n) }, true, 200*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	primary, leaving, behind := d.databases[0], d.databases[1], d.databases[2]
	rec.say("planned: %s is to be shut down and reports draining", leaving.id)
	leaving.drain()
	time.Sleep(2 * time.Second)
	if trouble {
		rec.say("disturbance: %s receives nothing for 6 s", behind.id)
		behind.setDeaf(true)
		time.Sleep(2 * time.Second)
		rec.say("disturbance: the primary %s crashes", primary.id)
		primary.crash()
		time.Sleep(4 * time.Second)
		behind.setDeaf(false)
		time.Sleep(crashTime - 4*time.Second)
		if err := primary.comeBack(d.controlAddresses()); err != nil {
			return false, err
		}
	}
	go d.endDrain(leaving)
	time.Sleep(9 * time.Second)
	t.stop.Store(true)
	t.consumers.Wait()
	served, failed := t.counts()
	rec.say("%d requests served, %d not; %d acknowledged writes lost", served, failed, len(*missing))
	if served < 20 {
		return false, errors.New("too few requests were served")
	}
	return len(*missing) > 0, nil
}

// crashTime is how long a crashed primary is down on the site.
const crashTime = 7 * time.Second

// endDrain ends a draining database once drain_ms and a second have passed since its ack and it leads no
// longer.
func (d *deployment) endDrain(s *database) {
	for ended := false; !ended; time.Sleep(50 * time.Millisecond) {
		d.group.mu.Lock()
		ended = !s.drainAcked.IsZero() && time.Since(s.drainAcked) > drainTime+time.Second && !s.primary
		d.group.mu.Unlock()
	}
	d.rec.say("planned: %s ends", s.id)
	s.crash()
}

// slowReplica: with sync_replicas 1, the replica that holds the latest commits is slow, the other one
// receives nothing for a while, and meanwhile the primary crashes.
func slowReplica(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 1, 24*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(1); err != nil {
		return false, err
	}
	t := newTally()
	missing := d.watchPromotes(t)
	for i, m := range d.machines {
		d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data%d", 100*i+n%100, n) }, true, 200*time.Millisecond)
		for range 12 {
			d.consume(t, m, "lookup-host", func(n int) string { return fmt.Sprintf("READ %d", n%600) }, false, 100*time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	primary, slow, behind := d.databases[0], d.databases[1], d.databases[2]
	if trouble {
		rec.say("disturbance: %s is 6 times as slow for 7 s", slow.id)
		slow.setFactor(6)
		rec.say("disturbance: %s receives nothing for 6 s", behind.id)
		behind.setDeaf(true)
		time.Sleep(3 * time.Second)
		rec.say("disturbance: the primary %s crashes", primary.id)
		primary.crash()
		time.Sleep(3 * time.Second)
		behind.setDeaf(false)
		time.Sleep(time.Second)
		slow.setFactor(1)
		time.Sleep(crashTime - 4*time.Second)
		if err := primary.comeBack(d.controlAddresses()); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	t.stop.Store(true)
	t.consumers.Wait()
	served, failed := t.counts()
	rec.say("%d requests served, %d not; %d acknowledged writes lost", served, failed, len(*missing))
	if served < 20 {
		return false, errors.New("too few requests were served")
	}
	return len(*missing) > 0, nil
}

// latePromote: the primary is replaced as planned while the platform takes seconds for each promote.
func latePromote(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 0, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(0); err != nil {
		return false, err
	}
	t := newTally()
	d.watchPromotes(t)
	for i, m := range d.machines {
		d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data%d", 100*i+n%100, n) }, true, 100*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		rec.say("disturbance: for %v the platform takes %v for each call", slowFor, platformSlowness)
		d.services.slowness.Store(int64(platformSlowness))
	}
	primary := d.databases[0]
	rec.say("planned: the primary %s is to be replaced; its successor starts first", primary.id)
	successor := d.group.add("i-d04a91c5", d.databaseAddress(1, 2), "zone-a")
	if err := successor.start(d.controlAddresses()); err != nil {
		return false, err
	}
	d.databases = append(d.databases, successor)
	time.Sleep(time.Second)
	rec.say("planned: %s reports draining", primary.id)
	primary.drain()
	go d.endDrain(primary)
	time.Sleep(slowFor - time.Second)
	d.services.slowness.Store(0)
	time.Sleep(6 * time.Second)
	t.stop.Store(true)
	t.consumers.Wait()
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	stale := 0
	for id, server := range d.group.stale {
		if t.acknowledged[id] {
			rec.add("ONE: the write %s was committed at %s after a promote of another database had taken effect, and acknowledged", id, server)
			stale++
		}
	}
	rec.say("%d requests served, %d not; %d writes acknowledged by a primary after a promote of another one", t.served, t.failed, stale)
	if t.served < 20 {
		return false, errors.New("too few requests were served")
	}
	return stale > 0, nil
}

const (
	// platformSlowness is how long the slow platform takes for a call, and slowFor how long it is slow.
	platformSlowness = 5 * time.Second
	slowFor          = 16 * time.Second
)

// lostPrimary: the primary crashes and comes back 7 s later; meanwhile every process of the system is killed.
func lostPrimary(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 0, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(0); err != nil {
		return false, err
	}
	before := newTally()
	d.consumeEverywhere(before)
	time.Sleep(5 * time.Second)
	if trouble {
		rec.say("disturbance: the primary %s crashes", d.databases[0].id)
		d.databases[0].crash()
		time.AfterFunc(crashTime, func() {
			if err := d.databases[0].comeBack(d.controlAddresses()); err != nil {
				rec.say("the primary does not come back: %v", err)
			}
		})
		time.Sleep(300 * time.Millisecond)
		rec.say("final fault: all processes are killed, and start again after %v", restartDelay)
		for _, m := range d.machines {
			for _, p := range m.processes {
				p.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(restartDelay)
	}
	before.stop.Store(true)
	before.consumers.Wait()
	rec.say("requests are counted from %v on", recoveryTime)
	time.Sleep(recoveryTime)
	after := newTally()
	d.consumeEverywhere(after)
	time.Sleep(20 * time.Second)
	after.stop.Store(true)
	after.consumers.Wait()
	servedBefore, failedBefore := before.counts()
	served, failed := after.counts()
	rec.say("before: %d requests served, %d not; from %v after the fault on: %d served, %d not", servedBefore, failedBefore, recoveryTime, served, failed)
	if servedBefore < 3*failedBefore {
		return false, errors.New("too few requests were served before")
	}
	return 4*served < served+failed, nil
}

// recoveryTime is recovery_s of the site.
const recoveryTime = 12 * time.Second

// consumeEverywhere runs a writer and two readers on every machine.
func (d *deployment) consumeEverywhere(t *tally) {
	for i, m := range d.machines {
		d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data%d", 100*i+n%100, n) }, true, 200*time.Millisecond)
		d.consume(t, m, "lookup-host", func(n int) string { return fmt.Sprintf("READ %d", n%600) }, false, 100*time.Millisecond)
		d.consume(t, m, "progress-host", func(n int) string { return fmt.Sprintf("READ %d", n%600) }, false, 100*time.Millisecond)
	}
}

// smuggledRequest: a machine gets SIGTERM while a consumer's write of several kilobytes is on its way in
// an open transaction.
func smuggledRequest(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 0, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(0); err != nil {
		return false, err
	}
	m := d.machines[1]
	s, err := openSession(d.address(m, "front"), "entry-host")
	if err != nil {
		return false, err
	}
	defer s.close()
	sentIDs := []string{newRequestID(), newRequestID(), newRequestID(), newRequestID()}
	ask := func(id, text string) (answer, error) {
		a, err := s.query(id, text, 3*time.Second)
		rec.say("consumer sends %s %s and gets %v %v", id, shortened(text), a, err)
		return a, err
	}
	if trouble {
		rec.say("disturbance: SIGTERM to the entry process of %s", m.name)
		m.role("entry").signal(syscall.SIGTERM)
	}
	if _, err := ask(sentIDs[0], "BEGIN"); err != nil {
		return false, err
	}
	if a, err := ask(sentIDs[1], "READ 41"); err != nil || !a.succeeded() {
		return false, fmt.Errorf("the transaction does not begin: %v %v", a, err)
	}
	// The data is a transcript of other requests, which takes more than a second on a slow link.
	time.Sleep(1500 * time.Millisecond)
	whole := "QUERY " + sentIDs[2] + " WRITE 41 transcript of the workshop's terminal: "
	_, _ = s.conn.Write([]byte(whole))
	for n := range 30 {
		time.Sleep(40 * time.Millisecond)
		part := fmt.Sprintf("QUERY %016x WRITE 900 part-%d-of-a-transcript ", n+1, n)
		if _, err := s.conn.Write([]byte(part)); err != nil {
			rec.say("the connection ends while the consumer sends: %v", err)
			break
		}
		whole += part
	}
	_, _ = s.conn.Write([]byte("end\r\n"))
	rec.say("consumer has sent %s", shortened(whole))
	_ = s.conn.SetDeadline(time.Now().Add(3 * time.Second))
	a, err := s.answer()
	rec.say("consumer gets %v %v", a, err)
	if err == nil && a.state == "T" {
		if a, err := ask(sentIDs[3], "COMMIT"); err == nil && a.succeeded() {
			rec.say("the consumer's transaction is committed")
		}
	}
	time.Sleep(500 * time.Millisecond)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	smuggled := 0
	for _, e := range d.group.executions {
		if e.text != "READ 1" && !slices.Contains(sentIDs, e.id) {
			smuggled++
			rec.say("UNASKED: %s ran %s %s, which no consumer sent", e.database, e.id, shortened(e.text))
		}
	}
	for _, c := range d.databases[0].log {
		rec.say("committed: %v changes item %s", c.ids, c.changes[0][0])
	}
	return smuggled > 0, nil
}

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
