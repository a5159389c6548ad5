package conns

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener limits the number of open connections. When there are too many, the one that has been silent for longest is
// closed, unless it is kept; if all are kept, the new one is refused. Set the exported fields first.
type Listener struct {
	net.Listener
	// Max is the number of connections.
	Max int
	// Refusal is sent to a connection that is refused or closed to make room; it may be empty.
	Refusal []byte
	// Report is called for each connection that is closed or refused, if it is set; it must not block.
	Report func(refused bool)

	mu   sync.Mutex
	open map[*Conn]bool
}

// refusalTimeout is short, since connections are refused one after another.
const refusalTimeout = 10 * time.Millisecond

// Accept returns the next connection that is not refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(accepted); c != nil {
			return c, nil
		}
		_ = accepted.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = accepted.Write(l.Refusal)
		_ = accepted.Close()
		if l.Report != nil {
			l.Report(true)
		}
	}
}

// add returns nil if there are too many connections.
func (l *Listener) add(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, listener: l}
	c.lastRead.Store(time.Now().UnixNano())
	l.mu.Lock()
	if l.open == nil {
		l.open = map[*Conn]bool{}
	}
	var silent *Conn
	if len(l.open) >= l.Max {
		silent = l.mostSilent()
		if silent == nil {
			l.mu.Unlock()
			return nil
		}
		delete(l.open, silent)
	}
	l.open[c] = true
	l.mu.Unlock()
	if silent != nil {
		_ = silent.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = silent.Conn.Write(l.Refusal)
		_ = silent.Close()
		if l.Report != nil {
			l.Report(false)
		}
	}
	return c
}

// mostSilent returns the connection that has been silent for longest of those that are not kept, or nil; mu is held.
func (l *Listener) mostSilent() *Conn {
	var silent *Conn
	for c := range l.open {
		if !c.kept.Load() && (silent == nil || c.lastRead.Load() < silent.lastRead.Load()) {
			silent = c
		}
	}
	return silent
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	lastRead atomic.Int64
	kept     atomic.Bool
}

// Keep makes sure that the connection is not closed for others, however silent it is.
func (c *Conn) Keep() { c.kept.Store(true) }

// Read reads and notes the time.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection and makes room for another.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Keep keeps a connection if it is one of a Listener.
func Keep(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		c.Keep()
	}
}
