package conns

import (
	"errors"
	"net"
	"syscall"
)

// Quiet reports, without blocking, whether a connection is open and nothing that its peer has sent waits in the socket. An
// idle connection of a protocol without ids in its answers must be quiet before the next question, or else the answer to
// an earlier one is taken for that to the next.
//
// It is true for connections that are not TCP, below TLS at most, of which nothing is known.
func Quiet(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	// Unlike Read, Control does not fail once the deadline of the last question has passed.
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		for errors.Is(err, syscall.EINTR) {
			_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
