package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// connection is the state of one connection to a database.
type connection struct {
	d        *database
	number   uint64
	conn     net.Conn
	out      bytes.Buffer
	state    byte
	readOnly bool
	wrote    commit
	prepared map[string]string
	// choice selects the answers that are repeated and the statements that are refused.
	choice *rand.Rand
	// writing is held while a whole answer is written.
	writing sync.Mutex
}

const (
	// stutterSeed is the seed of the choice of repeated answers; each connection has a sequence of its own.
	stutterSeed = 39
	// stutterShare is the share of answers that a stuttering database repeats, minRepeatDelay and maxRepeatDelay how
	// long after the answer.
	stutterShare   = 0.1
	minRepeatDelay = 5 * time.Millisecond
	maxRepeatDelay = 120 * time.Millisecond
	// refusedShare is the share of reads, writes and commits that a refusing database answers with BUSY.
	refusedShare = 0.05
)

func (d *database) serve(c net.Conn, refused bool, number uint64) {
	reader := bufio.NewReader(c)
	k := &connection{d: d, number: number, conn: c, state: 'I', prepared: map[string]string{}, choice: rand.New(rand.NewPCG(stutterSeed, number))}
	message, err := readMessage(reader)
	fields := strings.SplitN(message, " ", 4)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	misrouted := fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id
	switch {
	case misrouted:
		k.error("MISROUTED", d.id)
	case refused:
		k.error("CONNLIMIT", d.id)
	default:
		k.ready()
	}
	if k.send() != nil || misrouted || refused {
		return
	}
	for {
		message, err := readMessage(reader)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(message, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		k.query(id, text)
		if d.dead() {
			return
		}
		answer := bytes.Clone(k.out.Bytes())
		if k.send() != nil {
			return
		}
		k.repeatLater(id, text, answer)
	}
}

// send writes the buffered answer.
func (k *connection) send() error {
	defer k.out.Reset()
	return k.write(k.out.Bytes())
}

func (k *connection) write(answer []byte) error {
	k.writing.Lock()
	defer k.writing.Unlock()
	_, err := k.conn.Write(answer)
	return err
}

// repeatLater has an answer that was sent written once more, late and unchanged, if the database stutters and the answer
// is among the chosen ones.
func (k *connection) repeatLater(id, text string, answer []byte) {
	if !k.d.group.stutters.Load() {
		return
	}
	chosen := k.choice.Float64() < stutterShare
	delay := minRepeatDelay + time.Duration(k.choice.Int64N(int64(maxRepeatDelay-minRepeatDelay)))
	if !chosen {
		return
	}
	time.AfterFunc(delay, func() {
		if k.write(answer) == nil {
			k.d.group.repeated.Add(1)
			k.d.group.rec.add("%s repeats the answer to %s %s after %v (connection %d)", k.d.id, id, shortened(text), delay, k.number)
		}
	})
}

func (k *connection) error(code, message string) {
	fmt.Fprintf(&k.out, "ERROR %s %s\r\n", code, message)
}

// ready ends an answer with the position that the log has reached.
func (k *connection) ready() {
	k.d.group.mu.Lock()
	position := k.d.position()
	k.d.group.mu.Unlock()
	fmt.Fprintf(&k.out, "READY %c %s\r\n", k.state, position)
}

// query runs one request; the answer is buffered.
func (k *connection) query(id, text string) {
	defer k.ready()
	if since, ok := strings.CutPrefix(text, "SINCE "); ok {
		var position string
		position, text, _ = strings.Cut(since, " ")
		if !k.d.reached(position) {
			k.error("LAGGING", k.d.id)
			return
		}
	}
	word, arguments, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		if !k.d.enter() {
			k.error("BUSY", k.d.id)
			return
		}
		k.status(word, arguments)
		k.d.leave()
	case "BEGIN":
		k.begin(arguments == "READ")
	case "ROLLBACK":
		k.state, k.wrote = 'I', commit{}
		k.complete("-")
	case "SET", "CLOSE":
		k.complete("-")
	case "RESET":
		k.prepared = map[string]string{}
		k.complete("-")
	case "PREPARE":
		name, definition, _ := strings.Cut(arguments, " ")
		k.prepared[name] = definition
		k.complete("-")
	case "EXECUTE":
		name, rest, _ := strings.Cut(arguments, " ")
		definition, ok := k.prepared[name]
		if !ok {
			k.error("NOSTMT", name)
			return
		}
		access, _, _ := strings.Cut(definition, " ")
		k.statement(id, text, access, rest)
	case "READ", "WRITE", "COMMIT":
		k.statement(id, text, word, arguments)
	default:
		k.error("MALFORMED", word)
	}
}

func (k *connection) complete(mac string) { fmt.Fprintf(&k.out, "COMPLETE %s\r\n", mac) }

// reached reports whether the applied log has a position.
func (d *database) reached(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.applied == 0 {
		return false
	}
	last := d.log[d.applied-1]
	return last.term > term || last.term == term && last.number >= number
}

func (k *connection) status(word, arguments string) {
	d := k.d
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	var term uint64
	if word == "STEPDOWN" {
		if _, err := fmt.Sscanf(arguments, "%d", &term); err == nil && d.primary && term > d.term {
			d.primary = false
			d.group.rec.add("%s: steps down for term %d", d.id, term)
			d.group.replicate()
		}
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	fmt.Fprintf(&k.out, "ROW %s %d %s 0 0 %d %d\r\n", role, d.term, positionAt(d.log, len(d.log)), d.busy-1, len(d.conns))
	k.complete("-")
}

func (k *connection) begin(readOnly bool) {
	k.d.group.mu.Lock()
	primary := k.d.primary
	k.d.group.mu.Unlock()
	switch {
	case k.state != 'I':
		k.error("MALFORMED", "a transaction is open")
	case !readOnly && !primary:
		k.error("READONLY", k.d.id)
	default:
		k.state, k.readOnly = 'T', readOnly
		k.complete("-")
	}
}

// statement runs a read, a write or a commit in a slot.
func (k *connection) statement(id, text, access, arguments string) {
	if k.state == 'E' {
		k.error("MALFORMED", "the transaction has failed")
		return
	}
	if !k.d.enter() {
		k.error("BUSY", k.d.id)
		return
	}
	defer k.d.leave()
	if k.d.group.refuses.Load() && k.choice.Float64() < refusedShare {
		k.error("BUSY", k.d.id)
		return
	}
	k.d.doWork()
	d, g := k.d, k.d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := !d.primary && (access == "WRITE" || k.state == 'T' && !k.readOnly && !(access == "COMMIT" && len(k.wrote.ids) == 0))
	if lost {
		if k.state == 'T' {
			k.state = 'E'
		}
		k.error("READONLY", d.id)
		return
	}
	g.rec.add("%s runs %s %s (connection %d)", d.id, id, shortened(text), k.number)
	var rows []string
	switch access {
	case "READ":
		item, _, _ := strings.Cut(arguments, " ")
		rows = append(rows, item+"="+d.values[item])
		fmt.Fprintf(&k.out, "ROW %s\r\n", rows[0])
	case "WRITE":
		item, data, _ := strings.Cut(arguments, " ")
		k.wrote.ids = append(k.wrote.ids, id)
		k.wrote.changes = append(k.wrote.changes, [2]string{item, data})
		if k.state == 'I' && !d.commit(&k.wrote) {
			k.error("UNKNOWN", "not replicated")
			return
		}
	case "COMMIT":
		k.state = 'I'
		if len(k.wrote.ids) > 0 && !d.commit(&k.wrote) {
			k.error("UNKNOWN", "not replicated")
			return
		}
	}
	g.macs++
	mac := fmt.Sprintf("7.%x.%x", g.macs, rand.Uint64())
	g.executions[mac] = execution{id: id, text: text, rows: rows, database: d.id, connection: k.number}
	k.complete(mac)
}

func shortened(text string) string {
	if len(text) > 100 {
		return fmt.Sprintf("%q and %d bytes more", text[:100], len(text)-100)
	}
	return fmt.Sprintf("%q", text)
}
