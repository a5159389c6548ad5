package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

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
