package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// consumer is one session.
type consumer struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

// reply is the answer to one query; an empty code is a success.
type reply struct {
	rows      []string
	mac, code string
	message   string
	state     string
}

var lastID atomic.Uint64

// newID returns an id that no other query has.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// dialConsumer begins a session; the answer is the first line.
func dialConsumer(r *record, name, address, database, who string) (*consumer, string, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, "", err
	}
	c := &consumer{name: name, conn: conn, reader: bufio.NewReader(conn), record: r}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, who); err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, line, err
	}
	return c, line, nil
}

func (c *consumer) line() (string, error) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query sends a query and waits for its answer.
func (c *consumer) query(id, text string, within time.Duration) (reply, error) {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{}, err
	}
	var a reply
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.code, a.message, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *consumer) close() {
	_, _ = fmt.Fprint(c.conn, "QUIT\r\n")
	_ = c.conn.Close()
}
