package rig

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Network delays and cuts loopback connections between named places.
type Network struct {
	// Delay returns the one-way delay between two places; nil means none.
	Delay func(from, to string) time.Duration

	mu     sync.Mutex
	places map[string]string
	cut    map[string]bool
	silent map[string]bool
	conns  map[*delayed]bool
}

// Place says where the process that listens at address is.
func (n *Network) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.places == nil {
		n.places = map[string]string{}
		n.cut = map[string]bool{}
		n.silent = map[string]bool{}
		n.conns = map[*delayed]bool{}
	}
	n.places[address] = place
}

// Cut cuts a place off from all others, both ways, or joins it again.
func (n *Network) Cut(place string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[place] = cut
}

// Silence makes the open connections between two places silent for good; new ones work.
func (n *Network) Silence(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.from == from && c.to == to {
			c.lose()
			count++
		}
	}
	return count
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && (n.cut[from] || n.cut[to])
}

// PlaceOf returns the place of the process that listens at address.
func (n *Network) PlaceOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[address]
}

// Dialer opens connections from a place.
type Dialer struct {
	Network *Network
	From    string
}

// DialContext opens a connection that is delayed and cut as the network says.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n := d.Network
	to := n.PlaceOf(address)
	if n.isCut(d.From, to) {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := newDelayed(n, conn, d.From, to)
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	return c, nil
}

// CancelAt sends a caller's cancel request to an entry VM.
func (r *Rig) CancelAt(ctx context.Context, i int, processID uint32, secret []byte) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.CallerAddress(i))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := &pgproto3.CancelRequest{ProcessID: processID, SecretKey: secret}
	data, err := request.Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}
