package tcp

import (
	"net"

	"golang.org/x/sys/unix"
)

// Delivered reports whether the peer's machine has acknowledged everything that was sent on a connection. A
// peer whose machine does may be busy or suspended, but the path to it works. It reports false for a
// connection that is not TCP, below TLS at most.
func Delivered(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	delivered := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		delivered = err == nil && info.State == tcpEstablished && info.Unacked == 0 && info.Notsent_bytes == 0
	})
	return err == nil && delivered
}

// tcpEstablished is TCP_ESTABLISHED of the kernel.
const tcpEstablished = 1
