package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"trefoilcourse/entry/backend"
)

const (
	connectTimeout = 2 * time.Second
	// probeAfter is the idle time after which a connection is probed before reuse.
	probeAfter   = time.Second
	probeTimeout = 300 * time.Millisecond
	maxDials     = 4
	proxyUser    = "trefoil"
)

var errPoolClosed = errors.New("the lease on the group has ended")

// pool holds a group's connections to all its servers within one limit.
type pool struct {
	group         *group
	dialSemaphore chan struct{}

	mu        sync.Mutex
	maxOpen   int
	openCount int
	closed    bool
	idle      map[string][]*backend.Conn
	inUse     map[*backend.Conn]bool
	changed   chan struct{}
}

func newPool(group *group) *pool {
	return &pool{
		group: group, dialSemaphore: make(chan struct{}, maxDials),
		idle: map[string][]*backend.Conn{}, inUse: map[*backend.Conn]bool{}, changed: make(chan struct{}),
	}
}

// size returns the number of connections that are open or being opened.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// setLimit sets the maximum number of connections and closes idle ones above it.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grown := limit > p.maxOpen
	p.maxOpen = limit
	p.closeIdleAbove(p.maxOpen)
	if grown {
		p.notify()
	}
}

// close closes all connections, including those in use.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleAbove(0)
	for conn := range p.inUse {
		conn.Close()
	}
	p.notify()
}

// notify wakes all callers of get that wait for a connection; mu is held.
func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// closeIdleAbove closes idle connections until at most count are open; mu is held.
func (p *pool) closeIdleAbove(count int) {
	for p.openCount > count {
		if !p.closeIdle("") {
			return
		}
	}
}

// closeIdle closes one idle connection to a slot other than except; mu is held.
func (p *pool) closeIdle(except string) bool {
	for slot, conns := range p.idle {
		if slot == except || len(conns) == 0 {
			continue
		}
		conns[0].Close()
		p.idle[slot] = conns[1:]
		p.openCount--
		return true
	}
	return false
}

// get returns a connection to a slot's server in a term, reusing an idle one if possible.
func (p *pool) get(ctx context.Context, slot, address string, term uint64) (*backend.Conn, error) {
	for {
		conn, dial, changed, err := p.takeIdle(slot, term)
		switch {
		case err != nil:
			return nil, err
		case conn != nil:
			if p.alive(conn) {
				return conn, nil
			}
			p.put(conn, false)
		case dial:
			return p.dial(ctx, slot, address, term)
		default:
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-changed:
			}
		}
	}
}

// takeIdle returns an idle connection, permission to dial one, or a channel that is closed when the
// pool changes.
func (p *pool) takeIdle(slot string, term uint64) (conn *backend.Conn, dial bool, changed chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil, errPoolClosed
	}
	for len(p.idle[slot]) > 0 {
		conns := p.idle[slot]
		last := conns[len(conns)-1]
		p.idle[slot] = conns[:len(conns)-1]
		if last.Term() == term {
			p.inUse[last] = true
			return last, false, nil, nil
		}
		last.Close()
		p.openCount--
	}
	if p.openCount < p.maxOpen || p.closeIdle(slot) {
		p.openCount++
		return nil, true, nil, nil
	}
	return nil, false, p.changed, nil
}

// alive reports whether an idle connection may be used. One with unread input may not, be it an answer that is too many,
// the server's reason for a close, or a notice, for which the server is not to blame. One that has been idle for longer than
// probeAfter is probed, since the network may have dropped it.
func (p *pool) alive(conn *backend.Conn) bool {
	if !conn.Quiet() {
		return false
	}
	if time.Since(conn.LastContact()) < probeAfter {
		return true
	}
	_, err := conn.QueryReplayPosition(time.Now().Add(probeTimeout))
	return err == nil
}

// dial opens a connection that takeIdle has already counted as open.
func (p *pool) dial(ctx context.Context, slot, address string, term uint64) (*backend.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	select {
	case p.dialSemaphore <- struct{}{}:
	case <-ctx.Done():
		p.cancelDial()
		return nil, ctx.Err()
	}
	conn, err := backend.Dial(ctx, p.group.owner.Dialer, address, slot, p.group.name, proxyUser)
	<-p.dialSemaphore
	if err == nil && conn.Term() != term {
		conn.Close()
		err = fmt.Errorf("slot %q is in term %d, the group in term %d", slot, conn.Term(), term)
	}
	if err != nil {
		p.cancelDial()
		return nil, err
	}
	p.group.owner.Metrics.BackendConnects.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		p.openCount--
		return nil, errPoolClosed
	}
	p.inUse[conn] = true
	return conn, nil
}

// cancelDial uncounts a connection that could not be opened.
func (p *pool) cancelDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.notify()
}

// put returns a connection to the pool; it is closed if it is not clean or exceeds the limit.
func (p *pool) put(conn *backend.Conn, clean bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, conn)
	if clean && !p.closed && p.openCount <= p.maxOpen {
		conn.SetDeadline(time.Time{})
		p.idle[conn.Slot()] = append(p.idle[conn.Slot()], conn)
	} else {
		conn.Close()
		p.openCount--
		p.group.owner.Metrics.BackendDiscarded.Add(1)
	}
	p.notify()
}
