package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// platformSlowness is how long the slow platform takes for a call, and slowFor how long it is slow.
	platformSlowness = 5 * time.Second
	slowFor          = 16 * time.Second
)

// recoveryTime is recovery_s of the site.
const recoveryTime = 12 * time.Second

// crashTime is how long a crashed primary is down on the site.
const crashTime = 7 * time.Second

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
