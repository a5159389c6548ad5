package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may stay unacknowledged: several round trips between
	// regions, and less than callers wait.
	UserTimeout = 1500 * time.Millisecond
	// probeInterval is the time between keepalive probes on an idle connection, in whole seconds
	// as the socket options require.
	probeInterval = time.Second
	probeCount    = 2
	// RetryAfter is when to try again to set up a connection between the system's VMs: a round trip
	// between regions, and a tenth of the time after which TCP itself sends again.
	RetryAfter = 100 * time.Millisecond
)

// Dialer opens connections that detect an unresponsive peer; its zero value is ready to use.
type Dialer struct {
	// Timeout bounds the connection setup; 0 leaves it to the context.
	Timeout time.Duration
	// RetryAfter is how long an attempt may go without an answer before another starts beside it, since
	// what was sent to a VM without power is lost; 0 makes one attempt.
	RetryAfter time.Duration
	// ResetOnClose discards undelivered data when a connection is closed.
	ResetOnClose bool

	// attempt replaces dial in tests.
	attempt func(ctx context.Context, network, address string) (net.Conn, error)
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dial := d.dial
	if d.attempt != nil {
		dial = d.attempt
	}
	if d.RetryAfter == 0 {
		return dial(ctx, network, address)
	}
	return firstAnswered(ctx, d.RetryAfter, func(ctx context.Context) (net.Conn, error) {
		return dial(ctx, network, address)
	})
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
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

// Listen opens a listener whose connections detect an unresponsive peer as well.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAlive: -1,
		Control:   func(_, _ string, c syscall.RawConn) error { return control(c) },
	}
	return config.Listen(context.Background(), "tcp", address)
}

// control sets the socket options, which accepted connections inherit from their listener.
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
