package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const textOID = 25

var lastSessionID atomic.Uint64

// session serves one client connection.
type session struct {
	server          *Server
	conn            net.Conn
	backend         *pgproto3.Backend
	id              uint64
	applicationName string

	statements    map[string]*pgproto3.Parse
	portals       map[string]portal
	skipUntilSync bool

	// canceled receives cancel requests for the running statement.
	canceled chan struct{}

	inTransaction     bool
	transactionFailed bool
	readOnly          bool
	// defaultReadOnly is the setting default_transaction_read_only.
	defaultReadOnly bool
	pendingWrites   []write
	requestKeys     []string
}

type portal struct {
	query string
	args  []string
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{
		server: s, conn: conn, id: lastSessionID.Add(1),
		backend:    pgproto3.NewBackend(conn, conn),
		canceled:   make(chan struct{}, 1),
		statements: map[string]*pgproto3.Parse{}, portals: map[string]portal{},
	}
}

func (c *session) run(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	if !c.startup(ctx) {
		return
	}
	c.server.group.activity.addConnections(1)
	defer c.server.group.activity.addConnections(-1)
	c.server.sessions.Store(c.id, c)
	defer c.server.sessions.Delete(c.id)
	for ctx.Err() == nil {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		c.waitWhileFrozen(ctx)
		if !c.handle(ctx, message) {
			return
		}
	}
}

// waitWhileFrozen delays the answer until the server is no longer frozen.
func (c *session) waitWhileFrozen(ctx context.Context) {
	for c.server.frozen.Load() && ctx.Err() == nil {
		sleep(ctx, 10*time.Millisecond)
	}
}

func (c *session) startup(ctx context.Context) bool {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		c.waitWhileFrozen(ctx)
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.server.cancelSession(uint64(m.ProcessID))
			return false
		case *pgproto3.StartupMessage:
			c.applicationName = m.Parameters["application_name"]
			return c.acceptStartup(ctx)
		default:
			return false
		}
	}
}

func (c *session) acceptStartup(ctx context.Context) bool {
	group := c.server.group
	if open, _ := group.activity.Connections(); group.MaxConnections > 0 && open >= group.MaxConnections {
		c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = c.backend.Flush()
		return false
	}
	sleep(ctx, group.ConnectDelay)
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(c.id), SecretKey: []byte{0, 0, 0, 1}})
	c.sendReadyForQuery()
	return c.backend.Flush() == nil
}

func (c *session) sendReadyForQuery() {
	status := byte('I')
	switch {
	case c.transactionFailed:
		status = 'E'
	case c.inTransaction:
		status = 'T'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// handle processes one message and reports whether the connection stays open.
func (c *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	if _, sync := message.(*pgproto3.Sync); c.skipUntilSync && !sync {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		c.simpleQuery(ctx, m.String)
		c.sendReadyForQuery()
		return c.backend.Flush() == nil
	case *pgproto3.Parse:
		parsed := *m
		c.statements[m.Name] = &parsed
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Execute:
		p, ok := c.portals[m.Portal]
		if !ok {
			c.sendError("34000", fmt.Sprintf("portal %q does not exist", m.Portal))
			c.skipUntilSync = true
			return true
		}
		c.skipUntilSync = !c.execute(ctx, p.query, p.args, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.skipUntilSync = false
		c.sendReadyForQuery()
		return c.backend.Flush() == nil
	case *pgproto3.Flush:
		return c.backend.Flush() == nil
	case *pgproto3.Terminate:
		return false
	default:
		c.sendError("08P01", fmt.Sprintf("message %T is not expected", m))
	}
	return true
}

func (c *session) describe(m *pgproto3.Describe) {
	query := ""
	if m.ObjectType == 'S' {
		p, ok := c.statements[m.Name]
		if !ok {
			c.sendError("26000", fmt.Sprintf("prepared statement %q does not exist", m.Name))
			c.skipUntilSync = true
			return
		}
		query = p.Query
		oids := make([]uint32, countParameters(query))
		for i := range oids {
			oids[i] = textOID
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	} else {
		query = c.portals[m.Name].query
	}
	if fields := describeQuery(query); fields != nil {
		c.backend.Send(&pgproto3.RowDescription{Fields: fields})
		return
	}
	c.backend.Send(&pgproto3.NoData{})
}

func (c *session) bind(m *pgproto3.Bind) {
	p, ok := c.statements[m.PreparedStatement]
	if !ok {
		c.sendError("26000", fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement))
		c.skipUntilSync = true
		return
	}
	args := make([]string, len(m.Parameters))
	for i, value := range m.Parameters {
		args[i] = string(value)
	}
	c.portals[m.DestinationPortal] = portal{p.Query, args}
	c.backend.Send(&pgproto3.BindComplete{})
}

func (c *session) sendError(code, message string) bool {
	if c.inTransaction {
		c.transactionFailed = true
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
	return false
}

// receiveCopyData reads the data of COPY FROM STDIN, one id and body per line.
func (c *session) receiveCopyData() ([]byte, bool) {
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if c.backend.Flush() != nil {
		return nil, false
	}
	var data []byte
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return nil, false
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			return data, true
		case *pgproto3.CopyFail:
			return nil, c.sendError("57014", "COPY from stdin failed: "+m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return nil, c.sendError("08P01", io.ErrUnexpectedEOF.Error())
		}
	}
}
