package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/lsn"
	"trefoilcourse/wire/protorpc"
)

const (
	identityQuery = "SELECT pg_is_in_recovery(), current_setting('trefoil.term'), current_setting('trefoil.incarnation')"
	replayQuery   = "SELECT current_setting('trefoil.replay_term'), pg_last_wal_replay_lsn()"
	primaryQuery  = "SELECT pg_is_in_recovery(), current_setting('trefoil.term'), current_setting('trefoil.term_start'), pg_current_wal_insert_lsn()"
	replicaQuery  = "SELECT application_name, flush_lsn, replay_lsn FROM pg_stat_replication"
)

var errUnexpectedReply = errors.New("the backend server answered a question of the proxy with something else")

// Conn is a connection to a backend server.
type Conn struct {
	conn   net.Conn
	reader *frame.Reader
	writer *frame.Writer

	slot          string
	primary       bool
	term          uint64
	incarnation   string
	knownPosition session.Position
	readOnly      bool
	prepared      map[string]bool
	processID     uint32
	secretKey     []byte
	address       string
	dialer        protorpc.Dialer
	lastContact   time.Time
}

// Dial opens a connection to a server for a user and queries the server's role, term and incarnation.
func Dial(ctx context.Context, dialer protorpc.Dialer, address, slot, database, user string) (*Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		conn: conn, reader: frame.NewReader(conn), writer: frame.NewWriter(conn),
		slot: slot, prepared: map[string]bool{}, address: address, dialer: dialer,
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err = c.startSession(database, user)
	if err == nil {
		err = c.identify()
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("connect to slot %q at %s: %w", slot, address, err)
	}
	return c, nil
}

func (c *Conn) startSession(database, user string) error {
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": user, "database": database, "application_name": "trefoil", "client_encoding": "UTF8",
		},
	}
	data, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.conn.Write(data); err != nil {
		return err
	}
	for {
		f, err := c.reader.Next()
		if err != nil {
			return err
		}
		switch f.Type {
		case 'R':
			if len(f.Body) < 4 || f.Body[3] != 0 {
				return errors.New("the backend server asks for a password; the proxy is to be trusted by it")
			}
		case 'K':
			var key pgproto3.BackendKeyData
			if err := key.Decode(f.Body); err != nil {
				return err
			}
			c.processID, c.secretKey = key.ProcessID, append([]byte(nil), key.SecretKey...)
		case frame.ErrorResponse:
			return decodeError(f)
		case frame.ReadyForQuery:
			return nil
		}
	}
}

func decodeError(f frame.Frame) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.Body); err != nil {
		return err
	}
	return fmt.Errorf("the backend server refuses with SQLSTATE %s: %s", m.Code, m.Message)
}

func (c *Conn) identify() error {
	rows, err := c.query(identityQuery)
	if err != nil {
		return err
	}
	if len(rows) != 1 || len(rows[0]) != 3 {
		return errUnexpectedReply
	}
	c.primary = rows[0][0] == "f"
	c.term, err = strconv.ParseUint(rows[0][1], 10, 64)
	c.incarnation = rows[0][2]
	return err
}

// Slot returns the slot of the server.
func (c *Conn) Slot() string { return c.slot }

// Primary reports whether the server led its term when the connection was opened.
func (c *Conn) Primary() bool { return c.primary }

// Term returns the server's term when the connection was opened.
func (c *Conn) Term() uint64 { return c.term }

// KnownPosition returns the highest replay position that the server has reported on this connection.
func (c *Conn) KnownPosition() session.Position { return c.knownPosition }

// LastContact returns when the last read from the server finished.
func (c *Conn) LastContact() time.Time { return c.lastContact }

// SetDeadline bounds all later I/O; the zero time removes the deadline.
func (c *Conn) SetDeadline(t time.Time) { _ = c.conn.SetDeadline(t) }

// Close closes the connection to the server.
func (c *Conn) Close() { _ = c.conn.Close() }

// Write adds a frame to the send buffer.
func (c *Conn) Write(f frame.Frame) error { return c.writer.Write(f) }

// Flush sends the buffered frames.
func (c *Conn) Flush() error { return c.writer.Flush() }

// Next returns the server's next frame.
func (c *Conn) Next() (frame.Frame, error) {
	f, err := c.reader.Next()
	c.lastContact = time.Now()
	return f, err
}

// query runs an internal query of the proxy and returns the text rows of all its results.
func (c *Conn) query(sql string) ([][]string, error) {
	rows, _, err := c.queryWithTag(sql)
	return rows, err
}

// queryWithTag is query that also returns the tag of the last completed command.
func (c *Conn) queryWithTag(sql string) (rows [][]string, tag string, err error) {
	if err := c.Write(frame.Encode(&pgproto3.Query{String: sql})); err != nil {
		return nil, "", err
	}
	if err := c.Flush(); err != nil {
		return nil, "", err
	}
	var serverErr error
	for {
		f, err := c.Next()
		if err != nil {
			return nil, "", err
		}
		switch f.Type {
		case frame.DataRow:
			row, err := decodeTextRow(f)
			if err != nil {
				return nil, "", err
			}
			rows = append(rows, row)
		case frame.CommandComplete:
			tag = string(f.Body[:max(0, len(f.Body)-1)])
		case frame.ErrorResponse:
			serverErr = decodeError(f)
		case frame.ReadyForQuery:
			return rows, tag, serverErr
		}
	}
}

func decodeTextRow(f frame.Frame) ([]string, error) {
	var m pgproto3.DataRow
	if err := m.Decode(f.Body); err != nil {
		return nil, err
	}
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	return row, nil
}

// QueryReplayPosition asks how far the server has replayed. The position never goes back while a
// connection is open, so it also holds for later statements on this connection.
func (c *Conn) QueryReplayPosition(deadline time.Time) (session.Position, error) {
	c.SetDeadline(deadline)
	defer c.SetDeadline(time.Time{})
	rows, err := c.query(replayQuery)
	if err != nil {
		return session.Position{}, err
	}
	if len(rows) != 1 || len(rows[0]) != 2 {
		return session.Position{}, errUnexpectedReply
	}
	p, err := parsePosition(rows[0][0], rows[0][1])
	if err == nil {
		c.knownPosition = c.knownPosition.Max(p)
	}
	return p, err
}

func parsePosition(term, offset string) (session.Position, error) {
	termNumber, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return session.Position{}, err
	}
	lsnOffset, err := lsn.Parse(offset)
	return session.Position{Term: termNumber, Offset: lsnOffset}, err
}

// SetReadOnly sets default_transaction_read_only for all later transactions, if it differs.
func (c *Conn) SetReadOnly(readOnly bool, deadline time.Time) error {
	if c.readOnly == readOnly {
		return nil
	}
	c.SetDeadline(deadline)
	defer c.SetDeadline(time.Time{})
	value := "off"
	if readOnly {
		value = "on"
	}
	if _, err := c.query("SET default_transaction_read_only TO " + value); err != nil {
		return err
	}
	c.readOnly = readOnly
	return nil
}

// Prepared reports whether a statement is prepared on this connection.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// MarkPrepared records that a statement is prepared on this connection.
func (c *Conn) MarkPrepared(name string) { c.prepared[name] = true }

// Cancel opens a separate connection and asks the server to cancel the query running on this one.
func (c *Conn) Cancel(ctx context.Context) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := &pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}
	data, err := request.Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// Quiet reports, without blocking, whether the connection is open and the server has sent nothing that is unread. Its frames
// have no ids: what is unread would be taken for a part of the next answer.
func (c *Conn) Quiet() bool { return !c.reader.Buffered() && conns.Quiet(c.conn) }

// Buffered reports whether more of the server's answer is already in the read buffer.
func (c *Conn) Buffered() bool { return c.reader.Buffered() }

// Query runs an internal query of the proxy and returns its text rows.
func (c *Conn) Query(sql string, deadline time.Time) ([][]string, error) {
	c.SetDeadline(deadline)
	return c.query(sql)
}

// Exec runs an internal statement of the proxy and returns its command tag.
func (c *Conn) Exec(sql string, deadline time.Time) (string, error) {
	c.SetDeadline(deadline)
	_, tag, err := c.queryWithTag(sql)
	return tag, err
}
