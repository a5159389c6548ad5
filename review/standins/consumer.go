package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// session is a consumer's connection.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the response to one request.
type answer struct {
	rows          []string
	mac           string
	code, message string
	state         string
	position      string
}

func (a answer) succeeded() bool { return a.code == "" }

func (a answer) String() string {
	if a.code != "" {
		return "ERROR " + a.code + " " + a.message + " state " + a.state
	}
	return fmt.Sprintf("COMPLETE %s rows %q state %s position %s", a.mac, a.rows, a.state, a.position)
}

// newRequestID returns a new id of a request.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// openSession connects to an address and names a database.
func openSession(address, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "CONNECT %s u3f1\r\n", database); err != nil {
		s.close()
		return nil, err
	}
	message, err := readMessage(s.reader)
	if err == nil && !strings.HasPrefix(message, "READY") {
		err = fmt.Errorf("%s", message)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

// query sends a request and waits for its answer.
func (s *session) query(id, text string, limit time.Duration) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	return s.answer()
}

// answer reads one answer.
func (s *session) answer() (answer, error) {
	var a answer
	for {
		message, err := readMessage(s.reader)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.code, a.message, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", message)
		}
	}
}
