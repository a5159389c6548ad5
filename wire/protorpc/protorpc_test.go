package protorpc_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

type echo struct{ release chan struct{} }

// Echo answers with the same VM name.
func (e *echo) Echo(in *wire.Member, out *wire.Member) error {
	if in.GetVm() == "bad" {
		return errors.New("the name is bad")
	}
	if in.GetVm() == "slow" {
		<-e.release
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
