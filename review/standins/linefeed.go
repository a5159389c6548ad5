package main

import (
	"errors"
	"fmt"
	"time"
)

// lineFeedInData: consumers write data that holds a line feed alone, which is data since CR LF ends a message.
func lineFeedInData(rec *record, root string, trouble bool) (bool, error) {
	d, err := deploy(rec, root, 1, 0, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.begin(0); err != nil {
		return false, err
	}
	d.group.mu.Lock()
	clear(d.group.executions)
	d.group.mu.Unlock()
	writes, reads := newTally(), newTally()
	feed := "-"
	if trouble {
		feed = "\n"
		rec.say("disturbance: the data of the consumers' writes holds a line feed")
	}
	for i, m := range d.machines {
		data := func(n int) string {
			text := fmt.Sprintf("machine %d write %d", i, n)
			return []string{
				text + feed + "rest", feed + text, text + feed, text + feed + "\rrest",
				text + feed + fmt.Sprintf("QUERY %08x%08x WRITE %d a transcript", i, n, 900+i),
			}[n%5]
		}
		item := func(n int) int { return 100*i + n%100 }
		d.consume(writes, m, "entry-host", func(n int) string { return fmt.Sprintf("WRITE %d %s", item(n), data(n)) }, true, 200*time.Millisecond)
		d.executeWrites(writes, m, fmt.Sprintf("s%d", i), func(n int) string { return fmt.Sprintf("%d %s", 1000+item(n), data(n)) })
		d.consume(reads, m, "entry-host", func(n int) string { return fmt.Sprintf("READ %d", item(n)) }, false, 200*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	writes.stop.Store(true)
	reads.stop.Store(true)
	writes.consumers.Wait()
	reads.consumers.Wait()
	for id, text := range reads.ledger.sent {
		writes.ledger.sent[id] = text
	}
	unasked := writes.ledger.unasked(d.group)
	mixed := reads.ledger.mixed(d.group)
	written, failed := writes.counts()
	read, unread := reads.counts()
	rec.say("%d writes served, %d not, %d reads served, %d not; %d statements run that no consumer sent, %d reads with other rows than the database sent", written, failed, read, unread, unasked, mixed)
	if written < 20 || read < 20 {
		return false, errors.New("too few requests were served")
	}
	return unasked > 0 || mixed > 0, nil
}
