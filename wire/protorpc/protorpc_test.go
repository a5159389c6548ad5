package protorpc_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// notText cannot be encoded as a string.
const notText = "\xff"

type echo struct{ release chan struct{} }

// Echo answers with the same VM name.
func (e *echo) Echo(in *wire.Member, out *wire.Member) error {
	if in.GetVm() == "bad" {
		return errors.New("the name is bad")
	}
	if in.GetVm() == "bad text" {
		return errors.New(notText)
	}
	if in.GetVm() == "slow" {
		<-e.release
	}
	if in.GetVm() == "not text" {
		out.Vm = notText
		return nil
	}
	out.Vm = in.GetVm()
	return nil
}

func serve(t *testing.T) (string, *echo) {
	is := is.New(t)
	e := &echo{release: make(chan struct{})}
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Echo", e))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go server.ServeCodec(protorpc.NewServerCodec(conn, nil))
		}
	}()
	return l.Addr().String(), e
}

func TestCall(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t)
	traffic := &protorpc.Traffic{}
	c := &protorpc.Client{Address: address, Traffic: traffic}
	defer c.Close()
	out := &wire.Member{}
	is.NoErr(c.Call(context.Background(), "Echo.Echo", &wire.Member{Vm: "e1"}, out))
	is.Equal(out.GetVm(), "e1")
	is.Equal(c.Call(context.Background(), "Echo.Echo", &wire.Member{Vm: "bad"}, out).Error(), "the name is bad")
	is.True(traffic.Read() > 0 && traffic.Written() > 0)
}

// TestDeadline checks that a call without an answer ends with its context, and that the next call
// succeeds.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	address, e := serve(t)
	defer close(e.release)
	c := &protorpc.Client{Address: address}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := c.Call(ctx, "Echo.Echo", &wire.Member{Vm: "slow"}, &wire.Member{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.NoErr(c.Call(context.Background(), "Echo.Echo", &wire.Member{Vm: "e1"}, &wire.Member{}))
}

// TestCanceledCallKeepsConnection checks that giving up a call that has not timed out costs no new
// connection.
func TestCanceledCallKeepsConnection(t *testing.T) {
	is := is.New(t)
	address, e := serve(t)
	defer close(e.release)
	dialer := &countingDialer{}
	c := &protorpc.Client{Address: address, Dialer: dialer}
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	wait, err := c.Start(ctx, "Echo.Echo", &wire.Member{Vm: "slow"}, &wire.Member{})
	is.NoErr(err)
	cancel()
	is.True(errors.Is(wait(), context.Canceled))
	is.NoErr(c.Call(context.Background(), "Echo.Echo", &wire.Member{Vm: "e1"}, &wire.Member{}))
	is.Equal(dialer.dials, 1)
}

type countingDialer struct {
	net.Dialer
	dials int
}

// DialContext counts the connections.
func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials++
	return d.Dialer.DialContext(ctx, network, address)
}

type silent struct {
	io.Reader
	io.Writer
}

// Close does nothing.
func (silent) Close() error { return nil }

func FuzzServer(f *testing.F) {
	f.Add([]byte{2, 10, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		server := rpc.NewServer()
		_ = server.RegisterName("Echo", &echo{release: make(chan struct{})})
		server.ServeCodec(protorpc.NewServerCodec(silent{bytes.NewReader(data), io.Discard}, nil))
	})
}

// counter counts what is taken and not given back, up to a limit.
type counter struct {
	mu     sync.Mutex
	held   int
	most   int
	closed bool
}

func (c *counter) Take(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+n > memoryLimit {
		return false
	}
	c.held += n
	c.most = max(c.most, c.held)
	return true
}

func (c *counter) Give(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= n
}

func (c *counter) Await() {}

func (c *counter) Work() {}

func (c *counter) Close() { c.closed = true }

const memoryLimit = 20_000

// FuzzLimitedServer checks that whatever arrives, everything that was taken is given back and the account is closed.
func FuzzLimitedServer(f *testing.F) {
	call := &written{}
	_ = protorpc.NewClientCodec(call, nil).WriteRequest(&rpc.Request{ServiceMethod: "Echo.Echo", Seq: 3}, &wire.Member{Vm: strings.Repeat("e", 5000)})
	f.Add(call.Bytes())
	f.Add(append(call.Bytes(), call.Bytes()...))
	f.Add([]byte{2, 10, 0, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		server := rpc.NewServer()
		e := &echo{release: make(chan struct{})}
		close(e.release)
		_ = server.RegisterName("Echo", e)
		c := &counter{}
		server.ServeCodec(protorpc.NewLimitedServerCodec(silent{bytes.NewReader(data), io.Discard}, nil, protorpc.Limits{Memory: c, MaxRequestBytes: 8000}))
		if c.held != 0 || !c.closed {
			t.Fatalf("%d bytes are held, closed %v", c.held, c.closed)
		}
	})
}

type written struct{ bytes.Buffer }

// Close does nothing.
func (*written) Close() error { return nil }

// TestCallOverTheLimitIsRefusedAlone guards against a call for which there is no memory ending the connection, and with
// it the other calls of a VM.
func TestCallOverTheLimitIsRefusedAlone(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Echo", &echo{}))
	go server.ServeCodec(protorpc.NewLimitedServerCodec(there, nil, protorpc.Limits{Memory: &counter{}}))
	client := rpc.NewClientWithCodec(protorpc.NewClientCodec(here, nil))
	defer func() { _ = client.Close() }()
	err := client.Call("Echo.Echo", &wire.Member{Vm: strings.Repeat("e", memoryLimit)}, &wire.Member{})
	is.True(err != nil && strings.Contains(err.Error(), "memory"))
	answer := &wire.Member{}
	is.NoErr(client.Call("Echo.Echo", &wire.Member{Vm: "e1"}, answer))
	is.Equal(answer.GetVm(), "e1")
}
