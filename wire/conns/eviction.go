package conns

import (
	"net"
	"sync/atomic"
	"time"
)

// noticeTimeout is how long a client that gives way has to take the reason; others wait for its memory.
const noticeTimeout = 20 * time.Millisecond

// Eviction ends a connection that gives way to others, with a moment in which it may be told why.
type Eviction struct {
	conn  net.Conn
	begun atomic.Bool
}

// NewEviction returns the eviction of a connection, which has not begun.
func NewEviction(conn net.Conn) *Eviction { return &Eviction{conn: conn} }

// Begin interrupts reading and writing, and closes the connection after a moment. It does not block.
func (e *Eviction) Begin() {
	e.begun.Store(true)
	_ = e.conn.SetDeadline(time.Unix(1, 0))
	time.AfterFunc(noticeTimeout, func() { _ = e.conn.Close() })
}

// Begun reports whether the connection has to give way; nil has not begun.
func (e *Eviction) Begun() bool { return e != nil && e.begun.Load() }
