package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
)

// connection is the state of one connection to a database.
type connection struct {
	d        *database
	number   uint64
	out      *bufio.Writer
	state    byte
	readOnly bool
	wrote    commit
	prepared map[string]string
}

func (d *database) serve(c net.Conn, refused bool, number uint64) {
	reader := bufio.NewReader(c)
	k := &connection{d: d, number: number, out: bufio.NewWriter(c), state: 'I', prepared: map[string]string{}}
	line, err := reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	switch {
	case fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id:
		k.error("MISROUTED", d.id)
	case refused:
		k.error("CONNLIMIT", d.id)
	default:
		k.ready()
	}
	if k.out.Flush() != nil || fields[1] != d.group.name || refused {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		k.query(id, text)
		if d.dead() || k.out.Flush() != nil {
			return
		}
	}
}

func (k *connection) error(code, message string) {
	fmt.Fprintf(k.out, "ERROR %s %s\r\n", code, message)
}

// ready ends an answer with the position that the log has reached.
func (k *connection) ready() {
	k.d.group.mu.Lock()
	position := k.d.position()
	k.d.group.mu.Unlock()
	fmt.Fprintf(k.out, "READY %c %s\r\n", k.state, position)
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

func (k *connection) complete(mac string) { fmt.Fprintf(k.out, "COMPLETE %s\r\n", mac) }

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
	fmt.Fprintf(k.out, "ROW %s %d %s 0 0 %d %d\r\n", role, d.term, positionAt(d.log, len(d.log)), d.busy-1, len(d.conns))
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
	switch access {
	case "READ":
		item, _, _ := strings.Cut(arguments, " ")
		fmt.Fprintf(k.out, "ROW %s=%s\r\n", item, d.values[item])
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
	g.executions[mac] = execution{id: id, text: text, database: d.id, connection: k.number}
	k.complete(mac)
}

func shortened(text string) string {
	if len(text) > 100 {
		return fmt.Sprintf("%q and %d bytes more", text[:100], len(text)-100)
	}
	return fmt.Sprintf("%q", text)
}
