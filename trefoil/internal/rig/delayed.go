package rig

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes    = 32 << 10
	queuedChunks  = 256
	cutRetryPause = 20 * time.Millisecond
)

type chunk struct {
	data []byte
	due  time.Time
}

// delayed is a connection whose bytes arrive later, both ways. Bytes that are sent while the
// places are cut off from each other wait, as they would be sent again.
type delayed struct {
	net.Conn
	network  *Network
	from, to string
	out      chan chunk
	in       chan chunk
	rest     []byte
	closed   chan struct{}
	once     sync.Once
	lost     chan struct{}
	lostOnce sync.Once

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}
	failure  error
}

func newDelayed(n *Network, conn net.Conn, from, to string) *delayed {
	c := &delayed{
		Conn: conn, network: n, from: from, to: to,
		out: make(chan chunk, queuedChunks), in: make(chan chunk, queuedChunks),
		closed: make(chan struct{}), lost: make(chan struct{}), changed: make(chan struct{}),
	}
	go c.pumpOut()
	go c.pumpIn()
	return c
}

func (c *delayed) delay() time.Duration {
	if c.network.Delay == nil {
		return 0
	}
	return c.network.Delay(c.from, c.to)
}

func (c *delayed) lose() { c.lostOnce.Do(func() { close(c.lost) }) }

// pass waits until a chunk may arrive; false means that it never does.
func (c *delayed) pass(due time.Time) bool {
	wait := time.Until(due)
	for {
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.closed:
				return false
			}
		}
		select {
		case <-c.lost:
			<-c.closed
			return false
		default:
		}
		if !c.network.isCut(c.from, c.to) {
			return true
		}
		wait = cutRetryPause
	}
}

func (c *delayed) pumpOut() {
	for {
		select {
		case <-c.closed:
			c.drainOut()
			_ = c.Conn.Close()
			return
		case k := <-c.out:
			if !c.pass(k.due) {
				_ = c.Conn.Close()
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				_ = c.Close()
			}
		}
	}
}

// drainOut sends what was written before the connection was closed.
func (c *delayed) drainOut() {
	for {
		select {
		case k := <-c.out:
			if c.network.isCut(c.from, c.to) {
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				return
			}
		default:
			return
		}
	}
}

func (c *delayed) pumpIn() {
	for {
		buffer := make([]byte, chunkBytes)
		k, err := c.Conn.Read(buffer)
		if k > 0 {
			select {
			case c.in <- chunk{buffer[:k:k], time.Now().Add(c.delay())}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			c.mu.Lock()
			c.failure = err
			c.mu.Unlock()
			close(c.in)
			return
		}
	}
}

// Read returns bytes once they have arrived.
func (c *delayed) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		k, err := c.nextChunk()
		if err != nil {
			return 0, err
		}
		if !c.pass(k.due) {
			return 0, net.ErrClosed
		}
		c.rest = k.data
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *delayed) nextChunk() (chunk, error) {
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.changed
		c.mu.Unlock()
		var expired <-chan time.Time
		var timer *time.Timer
		if !deadline.IsZero() {
			timer = time.NewTimer(time.Until(deadline))
			expired = timer.C
		}
		k, again, err := c.receive(expired, changed)
		if timer != nil {
			timer.Stop()
		}
		if !again {
			return k, err
		}
	}
}

func (c *delayed) receive(expired <-chan time.Time, changed chan struct{}) (k chunk, again bool, err error) {
	select {
	case <-c.closed:
		return chunk{}, false, net.ErrClosed
	case <-expired:
		return chunk{}, false, errTimeout{}
	case <-changed:
		return chunk{}, true, nil
	case k, ok := <-c.in:
		if !ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			return chunk{}, false, c.failure
		}
		return k, false, nil
	}
}

// Write hands bytes over; they arrive after the delay.
func (c *delayed) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- chunk{data, time.Now().Add(c.delay())}:
		return len(p), nil
	}
}

// SetDeadline bounds reads; writes are handed over at once.
func (c *delayed) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds reads, also one under way.
func (c *delayed) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// SetWriteDeadline does nothing, since writes are handed over at once.
func (c *delayed) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection.
func (c *delayed) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

type errTimeout struct{}

// Error says that the deadline has passed.
func (errTimeout) Error() string { return "deadline exceeded" }

// Timeout reports true.
func (errTimeout) Timeout() bool { return true }

// Temporary reports true.
func (errTimeout) Temporary() bool { return true }
