package conns_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire/conns"
)

// TestQuiet guards against an idle connection with unread input, or a closed one, that is used again, and against an open one
// that is not, because the deadline of its last use has passed.
func TestQuiet(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	open := func() (conn, peer net.Conn) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		peer, err = listener.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
		return conn, peer
	}
	noticed := func(conn net.Conn) {
		t.Helper()
		for range 5000 {
			if !conns.Quiet(conn) {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatal("the connection stays quiet")
	}
	conn, peer := open()
	is.True(conns.Quiet(conn))
	is.NoErr(conn.SetDeadline(time.Unix(1, 0)))
	is.True(conns.Quiet(conn))
	_, err = peer.Write([]byte("xy"))
	is.NoErr(err)
	noticed(conn)
	is.NoErr(conn.SetDeadline(time.Time{}))
	_, err = conn.Read(make([]byte, 2)) // which Quiet has not taken
	is.NoErr(err)
	is.True(conns.Quiet(conn))
	is.NoErr(conn.Close())
	is.True(!conns.Quiet(conn))

	conn, peer = open()
	is.NoErr(peer.Close())
	noticed(conn)

	one, other := net.Pipe()
	defer func() { _, _ = one.Close(), other.Close() }()
	is.True(conns.Quiet(one))
}
