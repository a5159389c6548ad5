package protorpc_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// TestCallThatCannotBeEncoded guards against a call whose header is sent without its body: the peer takes the next call for
// the body, and answers of other calls are lost or belong to something else.
func TestCallThatCannotBeEncoded(t *testing.T) {
	is := is.New(t)
	address, e := serve(t)
	dialer := &countingDialer{}
	c := &protorpc.Client{Address: address, Dialer: dialer}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	start := func(vm string, out *wire.Member) func() error {
		wait, err := c.Start(ctx, "Echo.Echo", &wire.Member{Vm: vm}, out)
		is.NoErr(err)
		return wait
	}
	slow, after := &wire.Member{}, &wire.Member{}
	waitForSlow := start("slow", slow)
	waitForBroken := start(notText, &wire.Member{})
	waitForAfter := start("e1", after)
	is.True(errors.Is(waitForBroken(), protorpc.ErrNotEncoded))
	is.NoErr(waitForAfter())
	is.Equal(after.GetVm(), "e1")
	close(e.release)
	is.NoErr(waitForSlow())
	is.Equal(slow.GetVm(), "slow")
	is.Equal(dialer.dials, 1)
}

// TestAnswerThatCannotBeEncoded guards against an answer or an error that ends the connection with all calls that run there,
// and against one that leaves its header behind.
func TestAnswerThatCannotBeEncoded(t *testing.T) {
	is := is.New(t)
	address, e := serve(t)
	dialer := &countingDialer{}
	c := &protorpc.Client{Address: address, Dialer: dialer}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	slow := &wire.Member{}
	waitForSlow, err := c.Start(ctx, "Echo.Echo", &wire.Member{Vm: "slow"}, slow)
	is.NoErr(err)
	err = c.Call(ctx, "Echo.Echo", &wire.Member{Vm: "not text"}, &wire.Member{})
	is.True(err != nil && strings.HasPrefix(err.Error(), "the call may have run: "))
	err = c.Call(ctx, "Echo.Echo", &wire.Member{Vm: "bad text"}, &wire.Member{})
	is.True(err != nil)
	is.Equal(err.Error(), "\uFFFD")
	close(e.release)
	is.NoErr(waitForSlow())
	is.Equal(slow.GetVm(), "slow")
	is.Equal(dialer.dials, 1)
}
