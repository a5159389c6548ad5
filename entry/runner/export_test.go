package runner

import (
	"context"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
)

// TestPool is a pool with connections that have numbers.
type TestPool struct {
	pool *pool
	// mu guards conns and taken.
	mu    sync.Mutex
	conns []*testConn
	taken map[int]*serverConn
}

type testConn struct {
	number    int
	workspace string
	closed    bool
	// awaited is set if the pool waited for the server's close.
	awaited bool
}

// NewTestPool returns a pool with a limit.
func NewTestPool(limit int) *TestPool {
	p := &TestPool{pool: newPool(Target{}), taken: map[int]*serverConn{}}
	p.pool.maintain(limit)
	return p
}

// SetTime sets the virtual time of the pool and closes what has been idle for too long.
func (p *TestPool) SetTime(at time.Duration) {
	p.pool.now = func() time.Time { return time.Unix(1000, 0).Add(at) }
	p.pool.maintain(p.pool.limit)
}

// Connect implements Connector.
func (p *TestPool) Connect(_ context.Context, t Target) (Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &testConn{number: len(p.conns), workspace: t.Workspace}
	p.conns = append(p.conns, c)
	return c, nil
}

// Get takes a connection and returns its number.
func (p *TestPool) Get(ctx context.Context, workspace string) (int, bool, error) {
	return p.GetUrgent(ctx, 0, 0, workspace)
}

// Waiting returns the number of statements that wait for a connection.
func (p *TestPool) Waiting() int {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return len(p.pool.waiting)
}

// GetUrgent is Get for a statement with a priority and a target.
func (p *TestPool) GetUrgent(ctx context.Context, priority int, target time.Duration, workspace string) (int, bool, error) {
	c, evicted, err := p.pool.get(ctx, p, urgency{priority, target}, workspace, nil)
	if err != nil {
		return 0, evicted, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := c.Conn.(*testConn).number
	p.taken[n] = c
	return n, evicted, nil
}

// Put returns a connection to the pool.
func (p *TestPool) Put(n int, clean bool) {
	p.mu.Lock()
	c := p.taken[n]
	delete(p.taken, n)
	p.mu.Unlock()
	p.pool.put(c, clean)
}

// Idle returns the number of idle connections of a workspace, and Open that of all connections.
func (p *TestPool) Idle(workspace string) int {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	return p.pool.idleOf(workspace)
}

// Open returns the number of connections that are not closed.
func (p *TestPool) Open() int {
	open := 0
	for _, c := range p.conns {
		if !c.closed {
			open++
		}
	}
	return open
}

// Awaited reports whether the pool waited until the server had closed a connection.
func (p *TestPool) Awaited(n int) bool { return p.conns[n].awaited }

// WorkspaceOf returns the workspace for which a connection was opened.
func (p *TestPool) WorkspaceOf(n int) string { return p.conns[n].workspace }

func (c *testConn) Begin(time.Time, bool, session.Position) (Reply, error) { return Reply{}, nil }
func (c *testConn) Run(time.Time, setup.Steps, Query) (Reply, error)       { return Reply{}, nil }
func (c *testConn) Rollback(time.Time) error                               { return nil }
func (c *testConn) Ping(time.Time) (Reply, error)                          { return Reply{}, nil }
func (c *testConn) Interrupt()                                             {}
func (c *testConn) Alive() bool                                            { return true }
func (c *testConn) Close()                                                 { c.closed = true }

// CloseAndWait implements waitingCloser.
func (c *testConn) CloseAndWait() { c.closed, c.awaited = true, true }

// Spread returns the time to retry that a caller is given for a wait.
func Spread(wait time.Duration) time.Duration { return spread(wait) }

// LastAllLagging returns when a read of a group last found every replica lagging too far.
func (r *Runner) LastAllLagging(name string) time.Time {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastAllLagging
}

// PrimarySilent reports whether a request to a group's primary is unanswered, and would be taken for a sign of a lost
// server in time.
func (r *Runner) PrimarySilent(name string) bool {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health.Unresponsive(clock.Now().Add(time.Hour))
}
