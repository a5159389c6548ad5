package main

import (
	"errors"
	"fmt"
	"time"
)

// stutteringDatabases: all databases send some of their answers a second time, late, on the same connection, while
// consumers read and write through every entry process.
func stutteringDatabases(rec *record, root string, trouble bool) (bool, error) {
	return stutter(rec, root, trouble, false)
}

// stutteringRefusals: as stutteringDatabases, with databases that answer some statements with BUSY, with or without
// trouble. An answer without a MAC is repeated as well.
func stutteringRefusals(rec *record, root string, trouble bool) (bool, error) {
	return stutter(rec, root, trouble, true)
}

func stutter(rec *record, root string, trouble, refuses bool) (bool, error) {
	d, err := deploy(rec, root, 1, 0, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(0); err != nil {
		return false, err
	}
	t := newTally()
	d.group.refuses.Store(refuses)
	if trouble {
		rec.say("disturbance: all databases repeat a tenth of their answers, %v to %v late", minRepeatDelay, maxRepeatDelay)
		d.group.stutters.Store(true)
	}
	for i, m := range d.machines {
		item := func(n int) int { return 100*i + n%100 }
		for w := range 2 {
			d.consume(t, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d data-%d-%d-%d", item(n), i, w, n) }, true, 150*time.Millisecond)
		}
		for _, host := range []string{"entry-host", "lookup-host", "progress-host"} {
			d.consume(t, m, host, func(n int) string { return fmt.Sprintf("READ %d", item(n)) }, false, 150*time.Millisecond)
		}
		d.executeWrites(t, m, fmt.Sprintf("s%d", i), func(n int) string { return fmt.Sprintf("%d executed-%d-%d", 2000+item(n), i, n) })
		d.consumeTransactions(t, m, i)
	}
	time.Sleep(5 * time.Second)
	t.stop.Store(true)
	t.consumers.Wait()
	served, failed := t.counts()
	mixed := t.ledger.mixed(d.group)
	d.group.mu.Lock()
	log := d.databases[0].log
	d.group.mu.Unlock()
	refused, twice := t.ledger.refusedAndTwice(d.group, log)
	rec.say("%d requests served, %d not; %d answers repeated; MIXED: %d successes that the database did not give to the statement; REFUSED: %d committed writes; TWICE: %d", served, failed, d.group.repeated.Load(), mixed, refused, twice)
	switch {
	case served < 100:
		return false, errors.New("too few requests were served")
	case trouble && d.group.repeated.Load() < 20:
		return false, errors.New("too few answers were repeated")
	}
	return mixed > 0 || refused > 0 || twice > 0, nil
}

// consumeTransactions runs a consumer that repeats a transaction in sessions of its own until the tally stops.
func (d *deployment) consumeTransactions(t *tally, m *machine, number int) {
	t.consumers.Go(func() {
		for n := 0; !t.stop.Load(); n++ {
			time.Sleep(150 * time.Millisecond)
			s, err := openSession(d.address(m, "front"), "entry-host")
			if err != nil {
				d.rec.add("%s gives no session: %v", m.name, err)
				continue
			}
			transaction := attempt{ledger: t.ledger}
			item := 1000 + 100*number + n%100
			for _, text := range []string{"BEGIN", fmt.Sprintf("READ %d", item), fmt.Sprintf("WRITE %d transaction-%d-%d", item, number, n), "COMMIT"} {
				id, a, err := transaction.query(s, text)
				d.rec.add("%s answers %s %s in a transaction: %s %v", m.name, id, shortened(text), a, err)
				served := err == nil && a.succeeded()
				t.note(id, served, false)
				if !served {
					break
				}
			}
			s.close()
		}
	})
}
