package runner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/setup"
)

const (
	// connectTimeout is many times as long as a working server takes to accept a connection.
	connectTimeout = 700 * time.Millisecond
	// idleTimeout is shorter than the time after which servers close idle connections.
	idleTimeout = 40 * time.Second
)

var errNoConnection = errors.New("all connections of this owner's share are in use")

// serverConn is a pooled connection with its session state.
type serverConn struct {
	Conn
	slot string
	// workspace is the only one whose statements run on the connection.
	workspace string
	state     setup.Connection
	openedAt  time.Time
	lastUsed  time.Time
	// unused connections have not been returned to the pool since they were opened.
	unused bool
}

// closeAndWait closes a connection whose place in the server's limit is needed at once.
func (c *serverConn) closeAndWait() {
	if w, ok := c.Conn.(waitingCloser); ok {
		w.CloseAndWait()
		return
	}
	c.Close()
}

// pool holds the connections to one server.
type pool struct {
	target Target
	// now returns the time by which connections are idle.
	now func() time.Time

	mu     sync.Mutex
	idle   []*serverConn
	open   int
	limit  int
	closed bool
	// waiting are the statements that need a connection, the most urgent first.
	waiting []*waiter
	// available is closed when a connection is returned, the limit changes, or a waiter has left.
	available chan struct{}
}

func newPool(t Target) *pool { return &pool{target: t, now: clock.Now, available: make(chan struct{})} }

// urgency orders the statements that wait for a connection.
type urgency struct {
	priority int
	// target is the response time that callers expect; 0 is the longest.
	target time.Duration
}

// compare returns a negative number if u is more urgent than other.
func (u urgency) compare(other urgency) int {
	if c := cmp.Compare(u.priority, other.priority); c != 0 || u.target == other.target {
		return c
	}
	if u.target == 0 || other.target != 0 && u.target > other.target {
		return 1
	}
	return -1
}

// waiter is a statement that waits for a connection.
type waiter struct {
	urgency
	workspace string
}

// get returns the workspace's idle connection whose session state is closest to values, or opens one. At
// the limit it closes another workspace's idle connection first; evicted reports whether it did. Of those that
// wait, the most urgent one is next, and of equally urgent ones the one that came first.
func (p *pool) get(ctx context.Context, connector Connector, u urgency, workspace string, values map[string]string) (c *serverConn, evicted bool, err error) {
	self := &waiter{u, workspace}
	p.mu.Lock()
	p.enqueue(self)
	p.mu.Unlock()
	defer p.leave(self)
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, false, errNoConnection
		}
		next := p.isNext(self)
		if next {
			if c := p.takeClosest(workspace, values); c != nil {
				p.mu.Unlock()
				if c.Alive() {
					return c, false, nil
				}
				p.put(c, false)
				continue
			}
		}
		if next && p.open < p.limit {
			p.open++
			p.dequeue(self)
			p.mu.Unlock()
			c, err := p.connect(ctx, connector, workspace)
			return c, false, err
		}
		var other *serverConn
		if next {
			other = p.takeLongestIdle()
		}
		if other != nil {
			p.dequeue(self)
			p.mu.Unlock()
			// The new connection takes the place of the closed one in the count of open ones.
			other.closeAndWait()
			c, err := p.connect(ctx, connector, workspace)
			return c, true, err
		}
		available := p.available
		p.mu.Unlock()
		select {
		case <-available:
		case <-ctx.Done():
			return nil, false, errNoConnection
		}
	}
}

// enqueue adds a waiter behind those that are as urgent; mu is held.
func (p *pool) enqueue(w *waiter) {
	at := slices.IndexFunc(p.waiting, func(other *waiter) bool { return w.compare(other.urgency) < 0 })
	if at < 0 {
		at = len(p.waiting)
	}
	p.waiting = slices.Insert(p.waiting, at, w)
}

// isNext reports whether no waiter ahead of w can use what is free; mu is held. Above the limit a connection only
// serves its own workspace.
func (p *pool) isNext(w *waiter) bool {
	for _, other := range p.waiting {
		if other == w {
			return true
		}
		if p.open <= p.limit || other.workspace == w.workspace {
			return false
		}
	}
	return true
}

// dequeue removes a waiter, so that the next one may take what is left; mu is held.
func (p *pool) dequeue(w *waiter) {
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		if len(p.waiting) > 0 {
			p.broadcast()
		}
	}
}

// leave is dequeue for a waiter that has got a connection or has given up.
func (p *pool) leave(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dequeue(w)
}

// hasIdle reports whether a workspace has an idle connection.
func (p *pool) hasIdle(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleOf(workspace) > 0
}

// idleOf returns the number of a workspace's idle connections; mu is held.
func (p *pool) idleOf(workspace string) int {
	count := 0
	for _, c := range p.idle {
		if c.workspace == workspace {
			count++
		}
	}
	return count
}

// ready reports whether get need not wait for a connection of the system itself.
func (p *pool) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.open < p.limit || len(p.idle) > 0 && p.open == p.limit || p.idleOf("") > 0)
}

// takeClosest removes and returns the workspace's idle connection closest to values, or nil; mu is held.
func (p *pool) takeClosest(workspace string, values map[string]string) *serverConn {
	best, distance := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].workspace != workspace {
			continue
		}
		if d := p.idle[i].state.Distance(values); best < 0 || d < distance {
			best, distance = i, d
		}
		if distance == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	c := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return c
}

// takeLongestIdle removes and returns the connection that has been idle longest, or nil; mu is held. It
// belongs to another workspace than the one that needs a connection, which has no idle one. Above the
// limit none is replaced.
func (p *pool) takeLongestIdle() *serverConn {
	if len(p.idle) == 0 || p.open > p.limit {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

func (p *pool) connect(ctx context.Context, connector Connector, workspace string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	target := p.target
	target.Workspace = workspace
	conn, err := connector.Connect(ctx, target)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.broadcast()
		p.mu.Unlock()
		return nil, err
	}
	return &serverConn{Conn: conn, slot: p.target.Slot, workspace: workspace, openedAt: clock.Now(), unused: true}, nil
}

// broadcast wakes all goroutines that wait for a connection; mu is held.
func (p *pool) broadcast() {
	close(p.available)
	p.available = make(chan struct{})
}

// put returns a connection to the pool; one that is not clean is closed.
func (p *pool) put(c *serverConn, clean bool) {
	p.mu.Lock()
	keep := clean && !p.closed && p.open <= p.limit
	if keep {
		c.lastUsed = p.now()
		c.unused = false
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.broadcast()
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// maintain sets the limit and closes idle connections that exceed it or idleTimeout.
func (p *pool) maintain(limit int) {
	now := p.now()
	p.mu.Lock()
	if limit != p.limit {
		p.limit = limit
		p.broadcast()
	}
	var surplus []*serverConn
	for len(p.idle) > 0 && (p.open > p.limit || now.Sub(p.idle[0].lastUsed) > idleTimeout) {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	for _, c := range surplus {
		c.Close()
	}
}

// close closes the pool; connections in use are closed when they are returned.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes all idle connections; after one has failed, the others are probably dead as
// well.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.broadcast()
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
