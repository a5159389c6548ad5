package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/setup"
)

const (
	// connectTimeout is many times what a connection takes on a server that works.
	connectTimeout = 700 * time.Millisecond
	// idleLimit is shorter than servers keep connections on which nothing happens.
	idleLimit = 40 * time.Second
)

var errNoConnection = errors.New("all connections of this owner's share are in use")

// link is a pooled connection with what it carries.
type link struct {
	Conn
	slot  string
	state setup.Connection
	used  time.Time
	// fresh connections have not run anything since they were opened.
	fresh bool
}

// pool keeps the connections to one server.
type pool struct {
	target Target

	mu     sync.Mutex
	idle   []*link
	open   int
	limit  int
	closed bool
	// freed is closed when a connection comes back.
	freed chan struct{}
}

func newPool(t Target) *pool { return &pool{target: t, freed: make(chan struct{})} }

// take returns an idle connection, nearest to the values wanted, or opens one.
func (p *pool) take(ctx context.Context, servers Servers, wanted map[string]string) (*link, error) {
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, errNoConnection
		}
		if l := p.nearest(wanted); l != nil {
			p.mu.Unlock()
			if l.Alive() {
				return l, nil
			}
			p.put(l, false)
			continue
		}
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			return p.connect(ctx, servers)
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errNoConnection
		}
	}
}

// nearest removes and returns the best idle connection; mu is held.
func (p *pool) nearest(wanted map[string]string) *link {
	best, distance := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if d := p.idle[i].state.Distance(wanted); best < 0 || d < distance {
			best, distance = i, d
		}
		if distance == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	l := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return l
}

func (p *pool) connect(ctx context.Context, servers Servers) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := servers.Connect(ctx, p.target)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.wake()
		p.mu.Unlock()
		return nil, err
	}
	return &link{Conn: conn, slot: p.target.Slot, fresh: true}, nil
}

// wake tells those who wait for a connection; mu is held.
func (p *pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// put takes a connection back; one that is not clean is closed.
func (p *pool) put(l *link, clean bool) {
	p.mu.Lock()
	keep := clean && !p.closed && p.open <= p.limit
	if keep {
		l.used = clock.Now()
		l.fresh = false
		p.idle = append(p.idle, l)
	} else {
		p.open--
	}
	p.wake()
	p.mu.Unlock()
	if !keep {
		l.Close()
	}
}

// tend sets the limit and closes idle connections beyond it or unused for long.
func (p *pool) tend(limit int) {
	now := clock.Now()
	p.mu.Lock()
	if limit != p.limit {
		p.limit = limit
		p.wake()
	}
	var surplus []*link
	for len(p.idle) > 0 && (p.open > p.limit || now.Sub(p.idle[0].used) > idleLimit) {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	for _, l := range surplus {
		l.Close()
	}
}

// close ends the pool; connections in use are closed when they come back.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.drop()
}

// drop closes the idle connections, which a failed one suggests are dead as well.
func (p *pool) drop() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.wake()
	p.mu.Unlock()
	for _, l := range idle {
		l.Close()
	}
}

func (p *pool) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
