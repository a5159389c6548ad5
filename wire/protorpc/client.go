package protorpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"google.golang.org/protobuf/proto"
)

// ErrNotConnected means that a call was not sent because no connection could be opened.
var ErrNotConnected = errors.New("no connection")

// Dialer opens a connection; net.Dialer and tls.Dialer implement it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one process and reconnects after a connection has failed or a call has timed out. A
// call that is canceled leaves the connection open, since nothing says that it has failed.
type Client struct {
	// Address is the peer's host and port.
	Address string
	// Dialer opens connections; nil means a plain TCP dialer.
	Dialer Dialer
	// Traffic counts the bytes read and written; nil disables counting.
	Traffic *Traffic
	// KeepConnOnTimeout keeps the connection open for other calls when one times out.
	KeepConnOnTimeout bool
	// Delivered, if not nil, reports whether the peer's machine has acknowledged everything sent on a
	// connection. Such a connection is kept when a call times out, up to maxUnanswered times in a row:
	// the peer is slow, and a new connection would only be more work for it.
	Delivered func(conn net.Conn) bool

	mu     sync.Mutex
	client *rpc.Client
	conn   net.Conn
	// unanswered is how many calls have timed out since one was answered.
	unanswered int
}

// maxUnanswered bounds the calls that wait on a connection whose peer does not answer.
const maxUnanswered = 8

// Call makes one call. If the deadline of ctx passes first it returns an error and, without
// KeepConnOnTimeout, closes the connection.
func (c *Client) Call(ctx context.Context, method string, request, response proto.Message) error {
	wait, err := c.Start(ctx, method, request, response)
	if err != nil {
		return err
	}
	return wait()
}

// Start sends a request and returns a function that waits for its response as Call does. Requests
// that one goroutine starts arrive in their order, without waiting for each other's responses.
func (c *Client) Start(ctx context.Context, method string, request, response proto.Message) (wait func() error, err error) {
	client, err := c.connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotConnected, c.Address, err)
	}
	call := client.Go(method, request, response, make(chan *rpc.Call, 1))
	return func() error { return c.wait(ctx, client, call) }, nil
}

func (c *Client) wait(ctx context.Context, client *rpc.Client, call *rpc.Call) error {
	select {
	case <-call.Done:
		switch {
		case errors.Is(call.Error, ErrNotEncoded):
			// Nothing was sent, and other calls may run on the connection.
		case isConnectionError(call.Error):
			c.drop(client)
		default:
			c.answered(client)
		}
		return call.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && !c.keepAfterTimeout(client) {
			c.drop(client)
		}
		return fmt.Errorf("call %s at %s: %w", call.ServiceMethod, c.Address, ctx.Err())
	}
}

// answered ends a series of calls that have timed out.
func (c *Client) answered(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.unanswered = 0
	}
}

// keepAfterTimeout reports whether a connection on which a call has timed out stays open.
func (c *Client) keepAfterTimeout(client *rpc.Client) bool {
	if c.KeepConnOnTimeout {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != client || c.Delivered == nil {
		return false
	}
	c.unanswered++
	return c.unanswered < maxUnanswered && c.Delivered(c.conn)
}

// Close closes the connection; pending calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.client, c.conn = nil, nil
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	var dialer Dialer = &net.Dialer{}
	if c.Dialer != nil {
		dialer = c.Dialer
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	c.client, c.conn, c.unanswered = rpc.NewClientWithCodec(NewClientCodec(conn, c.Traffic)), conn, 0
	return c.client, nil
}

func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client, c.conn = nil, nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

func isConnectionError(err error) bool {
	if err == nil {
		return false
	}
	var serverError rpc.ServerError
	return !errors.As(err, &serverError)
}
