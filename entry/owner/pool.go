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
	// probeAfter is the silence after which a connection is tried out before it is used.
	probeAfter   = time.Second
	probeTimeout = 300 * time.Millisecond
	maxDials     = 4
	proxyUser    = "trefoil"
)

var errPoolClosed = errors.New("the lease on the group has ended")

// pool holds a group's connections to all its servers within one limit.
type pool struct {
	g     *group
	dials chan struct{}

	mu      sync.Mutex
	allowed int
	opened  int
	closed  bool
	idle    map[string][]*backend.Conn
	used    map[*backend.Conn]bool
	freed   chan struct{}
}

func newPool(g *group) *pool {
	return &pool{
		g: g, dials: make(chan struct{}, maxDials),
		idle: map[string][]*backend.Conn{}, used: map[*backend.Conn]bool{}, freed: make(chan struct{}),
	}
}

// open returns the number of connections that are open or being opened.
func (p *pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// limit sets the most connections and closes idle ones above it.
func (p *pool) limit(allowed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grown := allowed > p.allowed
	p.allowed = allowed
	p.dropIdleAbove(p.allowed)
	if grown {
		p.notify()
	}
}

// close closes every connection, those in use included.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdleAbove(0)
	for conn := range p.used {
		conn.Close()
	}
	p.notify()
}

func (p *pool) notify() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// dropIdleAbove closes idle connections until no more than count are open; mu is held.
func (p *pool) dropIdleAbove(count int) {
	for p.opened > count {
		if !p.dropIdle("") {
			return
		}
	}
}

// dropIdle closes one idle connection to a slot other than keep; mu is held.
func (p *pool) dropIdle(keep string) bool {
	for slot, conns := range p.idle {
		if slot == keep || len(conns) == 0 {
			continue
		}
		conns[0].Close()
		p.idle[slot] = conns[1:]
		p.opened--
		return true
	}
	return false
}

// get returns a connection to a slot's server in a term, warm if there is one.
func (p *pool) get(ctx context.Context, slot, address string, term uint64) (*backend.Conn, error) {
	for {
		conn, dial, freed, err := p.take(slot, term)
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
			case <-freed:
			}
		}
	}
}

// take returns an idle connection, or leave to dial one, or a channel to wait on.
func (p *pool) take(slot string, term uint64) (conn *backend.Conn, dial bool, freed chan struct{}, err error) {
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
			p.used[last] = true
			return last, false, nil, nil
		}
		last.Close()
		p.opened--
	}
	if p.opened < p.allowed || p.dropIdle(slot) {
		p.opened++
		return nil, true, nil, nil
	}
	return nil, false, p.freed, nil
}

// alive tries out a connection that has been silent for long: the path may have lost it.
func (p *pool) alive(conn *backend.Conn) bool {
	if time.Since(conn.LastContact()) < probeAfter {
		return true
	}
	_, err := conn.QueryReplayPosition(time.Now().Add(probeTimeout))
	return err == nil
}

// dial opens a connection; a place for it has been counted.
func (p *pool) dial(ctx context.Context, slot, address string, term uint64) (*backend.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	select {
	case p.dials <- struct{}{}:
	case <-ctx.Done():
		p.forget()
		return nil, ctx.Err()
	}
	conn, err := backend.Dial(ctx, p.g.owner.Dialer, address, slot, p.g.name, proxyUser)
	<-p.dials
	if err == nil && conn.Term() != term {
		conn.Close()
		err = fmt.Errorf("slot %q is in term %d, the group in term %d", slot, conn.Term(), term)
	}
	if err != nil {
		p.forget()
		return nil, err
	}
	p.g.owner.Metrics.BackendConnects.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		p.opened--
		return nil, errPoolClosed
	}
	p.used[conn] = true
	return conn, nil
}

func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened--
	p.notify()
}

// put takes a connection back; one that is not clean, or not within the limit, is closed.
func (p *pool) put(conn *backend.Conn, clean bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.used, conn)
	if clean && !p.closed && p.opened <= p.allowed {
		conn.SetDeadline(time.Time{})
		p.idle[conn.Slot()] = append(p.idle[conn.Slot()], conn)
	} else {
		conn.Close()
		p.opened--
		p.g.owner.Metrics.BackendDiscarded.Add(1)
	}
	p.notify()
}
