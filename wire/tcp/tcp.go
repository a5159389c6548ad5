package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long the other end may leave bytes unacknowledged: several round trips
	// between regions, and less than callers wait.
	UserTimeout = 1500 * time.Millisecond
	// probeInterval is the time between two probes on an idle connection, in whole seconds as
	// the system wants them.
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer opens connections; it is ready for use as it is.
type Dialer struct {
	// Timeout bounds the opening; 0 leaves that to the context.
	Timeout time.Duration
	// ResetOnClose drops what has not been delivered when a connection is closed.
	ResetOnClose bool
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout, KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error { return control(c) },
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := conn.(*net.TCPConn); ok && d.ResetOnClose {
		if err := t.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return conn, nil
}

// Listen opens a listener whose connections notice silence as well.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAlive: -1,
		Control:   func(_, _ string, c syscall.RawConn) error { return control(c) },
	}
	return config.Listen(context.Background(), "tcp", address)
}

// control sets the options, which accepted connections take over from their listener.
func control(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		for _, o := range []struct{ level, option, value int }{
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds())},
		} {
			if err := unix.SetsockoptInt(int(fd), o.level, o.option, o.value); err != nil && failed == nil {
				failed = err
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}
