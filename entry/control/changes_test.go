package control_test

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/entry/control"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
	"trefoilcourse/wire/protorpc"
)

// controlVM is a fake control VM.
type controlVM struct {
	// addresses are those of all control VMs; version is the configuration version of this one.
	addresses      []string
	version        uint64
	inForce        uint64
	objects        *wire.Objects
	changeRequests atomic.Int64
	// leaderAddress is set on a follower, which returns it in place of a grant.
	leaderAddress string
	// delay is the time before a response.
	delay     time.Duration
	sequences sync.Map
	repeated  atomic.Bool
}

// Renew answers as a leader whose changes must be fetched separately.
func (c *controlVM) Renew(r *wire.RenewRequest, answer *wire.RenewResponse) error {
	if c.leaderAddress != "" {
		answer.LeaderAddress = c.leaderAddress
		return nil
	}
	if _, again := c.sequences.LoadOrStore(r.GetSequence(), true); again {
		c.repeated.Store(true)
	}
	time.Sleep(c.delay)
	answer.Accepted, answer.ControlTerm, answer.LeaseMilliseconds = true, 1, 2000
	answer.ConfigurationVersion, answer.ControlAddresses = c.inForce, c.addresses
	answer.ChangesApart = r.GetConfigurationVersion() < c.inForce
	return nil
}

// Changes answers with the configuration of this control VM.
func (c *controlVM) Changes(_ *wire.ChangesRequest, answer *wire.ChangesResponse) error {
	c.changeRequests.Add(1)
	data, err := packed.Marshal(c.objects)
	answer.Version, answer.Whole, answer.Packed = c.version, true, data
	return err
}

func serve(t *testing.T, c *controlVM) string {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Control", c))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.ServeCodec(protorpc.NewServerCodec(conn, nil))
		}
	}()
	return listener.Addr().String()
}

// renewUntil starts the client and waits until its view has the version; the client runs until stop.
func renewUntil(t *testing.T, client *control.Client, v *view.View, version uint64) (stop func()) {
	is := is.New(t)
	client.Prepare()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	for v.Version() != version && ctx.Err() == nil {
		select {
		case <-v.Changed():
		case <-ctx.Done():
		}
	}
	is.Equal(v.Version(), version)
	return func() {
		cancel()
		is.NoErr(<-ended)
	}
}

type noReport struct{}

func (noReport) Report(time.Time, *wire.RenewRequest) bool { return false }

// TestLargeChangesAreFetchedSeparately checks that large changes come from a control VM that has them,
// skipping one that is down and one that has not applied them yet.
func TestLargeChangesAreFetchedSeparately(t *testing.T) {
	is := is.New(t)
	objects := &wire.Objects{Objects: []*wire.Object{{Kind: "database", Name: "d", Body: []byte(`{"group":"g"}`)}}}
	leader := &controlVM{version: 5, inForce: 5, objects: objects}
	lagging := &controlVM{objects: &wire.Objects{}}
	address := serve(t, leader)
	leader.addresses = []string{"127.0.0.1:1", serve(t, lagging), address}

	v := view.New()
	client := &control.Client{VM: "e1", Addresses: []string{address}, View: v, Reporter: noReport{}}
	stop := renewUntil(t, client, v, 5)
	_, _, _, ok := v.Database("d")
	is.True(ok)
	is.Equal(leader.changeRequests.Load(), int64(1))
	stop()
}

// TestUnresponsiveControlVMsDoNotDelayRenewal checks that no renewal fails when control VMs that are
// not up yet do not answer an entry VM that has just started.
func TestUnresponsiveControlVMsDoNotDelayRenewal(t *testing.T) {
	is := is.New(t)
	unresponsive := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		return listener.Addr().String()
	}
	leader := &controlVM{version: 5, inForce: 5, objects: &wire.Objects{}}
	address := serve(t, leader)
	leader.addresses = []string{address}

	v := view.New()
	client := &control.Client{VM: "e1", Addresses: []string{address, unresponsive(), unresponsive()}, View: v, Reporter: noReport{}}
	stop := renewUntil(t, client, v, 5)
	is.Equal(client.Failures(), uint64(0))
	stop()
}

// TestRenewalIsSentOnceToLeader checks that a leader with a pending request is not sent it again when a
// follower names it: the leader would refuse the repeated sequence number.
func TestRenewalIsSentOnceToLeader(t *testing.T) {
	is := is.New(t)
	leader := &controlVM{version: 5, inForce: 5, objects: &wire.Objects{}, delay: 30 * time.Millisecond}
	address := serve(t, leader)
	follower := serve(t, &controlVM{leaderAddress: address})
	leader.addresses = []string{address, follower}

	v := view.New()
	client := &control.Client{VM: "e1", Addresses: []string{address, follower}, View: v, Reporter: noReport{}}
	stop := renewUntil(t, client, v, 5)
	is.True(!leader.repeated.Load())
	stop()
}
