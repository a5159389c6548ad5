package caller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/cancel"
	"trefoilcourse/coord/session"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
)

const (
	maxStartupBytes = 10_000
	startupTimeout  = 10 * time.Second

	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
	codeV3     = 196608
	// majorVersionMask clears the minor version, which is negotiated down.
	majorVersionMask = 0xffff0000
)

// startup logs a caller in; false means that the connection must be closed.
func (c *connection) startup(ctx context.Context) bool {
	_ = c.conn.SetDeadline(time.Now().Add(startupTimeout))
	for range 3 {
		code, body, err := readStartup(c.conn)
		if err != nil {
			return false
		}
		switch {
		case code == codeSSL:
			if !c.offerTLS(ctx) {
				return false
			}
		case code == codeGSS:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case code == codeCancel:
			c.cancelRequest(ctx, body)
			return false
		case code&majorVersionMask == codeV3:
			return c.login(body)
		default:
			c.sendFatal(&outcome.Refusal{Code: "08P01", Message: fmt.Sprintf("protocol version %d.%d is not supported", code>>16, code&0xffff), Hint: "Use protocol version 3."})
			return false
		}
	}
	return false
}

// readStartup reads one packet without a type byte, and nothing beyond it: TLS bytes may follow.
func readStartup(r io.Reader) (code uint32, body []byte, err error) {
	var header [8]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 8 || length > maxStartupBytes {
		return 0, nil, fmt.Errorf("startup packet has length %d; at most %d is accepted", length, maxStartupBytes)
	}
	body = make([]byte, length-8)
	_, err = io.ReadFull(r, body)
	return binary.BigEndian.Uint32(header[4:]), body, err
}

func (c *connection) offerTLS(ctx context.Context) bool {
	if c.server.TLS == nil {
		_, err := c.conn.Write([]byte{'N'})
		return err == nil
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	conn := tls.Server(c.conn, c.server.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return false
	}
	c.useConn(conn)
	return true
}

func (c *connection) cancelRequest(ctx context.Context, body []byte) {
	if len(body) == 8 {
		key := cancel.KeyOf(binary.BigEndian.Uint32(body), body[4:])
		c.server.forwardCancel(ctx, key)
	}
}

// login checks the startup parameters and confirms the login.
func (c *connection) login(body []byte) bool {
	var m pgproto3.StartupMessage
	packet := binary.BigEndian.AppendUint32(nil, codeV3)
	if err := m.Decode(append(packet, body...)); err != nil {
		c.sendFatal(&outcome.Refusal{Code: "08P01", Message: "the startup message does not decode: " + err.Error()})
		return false
	}
	if refusal := c.applyParameters(m.Parameters); refusal != nil {
		c.sendFatal(refusal)
		return false
	}
	if !c.server.register(c) {
		c.sendFatal(outcome.NotRun(outcome.Draining, "this entry VM is stopping", "Connect again; another one answers."))
		return false
	}
	_ = c.conn.SetDeadline(time.Time{})
	return c.confirmLogin() == nil
}

func (c *connection) applyParameters(parameters map[string]string) *outcome.Refusal {
	c.user = parameters["user"]
	c.group = parameters["database"]
	if c.group == "" {
		c.group = c.user
	}
	if !c.server.View.Confirmed() {
		return outcome.NotRun(outcome.Unconfirmed, "this entry VM cannot confirm its configuration", "Connect again; another one answers.")
	}
	if _, _, ok := c.server.View.GroupConfig(c.group); !ok {
		return &outcome.Refusal{Code: outcome.UnknownDatabase, Message: fmt.Sprintf("database %q does not exist", c.group), Hint: "Name a database-group of the configuration in force."}
	}
	for name, value := range parameters {
		if refusal := c.applyParameter(name, value); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (c *connection) applyParameter(name, value string) *outcome.Refusal {
	switch name {
	case "user", "database", "application_name", "DateStyle", "extra_float_digits", "options":
		return nil
	case "client_encoding":
		if value == "UTF8" || value == "utf8" || value == "UTF-8" {
			return nil
		}
	case settingFloor, settingStaleness, settingDeadline:
		return c.applySetting(name[len(settingPrefix):], value)
	}
	return &outcome.Refusal{
		Code: outcome.Unsupported, Message: fmt.Sprintf("startup parameter %q = %q cannot be kept on shared connections", name, value),
		Hint: "Leave it out, or use SET LOCAL in each transaction.",
	}
}

func (c *connection) confirmLogin() error {
	frames := []frame.Frame{
		frame.Encode(&pgproto3.AuthenticationOk{}),
		frame.Encode(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0 (trefoilcourse)"}),
		frame.Encode(&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"}),
		frame.Encode(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"}),
		frame.Encode(&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"}),
		frame.Encode(&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"}),
		frame.Encode(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"}),
		frame.Encode(&pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: c.secret}),
		frame.Ready(frame.Idle),
	}
	return c.send(frames, true)
}

// floorToken returns the session's floor in the form that callers can present to another VM.
func floorToken(p session.Position) string { return p.String() }
