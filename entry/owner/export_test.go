package owner

import (
	"context"

	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/wire/protorpc"
)

// TestPool is the pool of a group without its leases; Address is that of its only server, in term 1.
type TestPool struct {
	Address string
	pool    *pool
	Metrics *metrics.Metrics
}

// NewTestPool returns a pool with a limit of one connection.
func NewTestPool(dialer protorpc.Dialer, address string) *TestPool {
	m := &metrics.Metrics{}
	p := newPool(&group{owner: &Owner{Dialer: dialer, Metrics: m}, name: "g"})
	p.setLimit(1)
	return &TestPool{Address: address, pool: p, Metrics: m}
}

// Get takes a connection.
func (p *TestPool) Get(ctx context.Context) (*backend.Conn, error) {
	return p.pool.get(ctx, "s", p.Address, 1)
}

// Put returns a connection that is clean.
func (p *TestPool) Put(conn *backend.Conn) { p.pool.put(conn, true) }

// Close closes all connections.
func (p *TestPool) Close() { p.pool.close() }
