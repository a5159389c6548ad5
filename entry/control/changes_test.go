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

// controlVM is a fake of a control VM.
type controlVM struct {
	// addresses are those of all control VMs; version is what this one has.
	addresses []string
	version   uint64
	inForce   uint64
	objects   *wire.Objects
	asked     atomic.Int64
	// names is the leader that a VM which does not lead names.
	names string
	// slow is how long an answer takes.
	slow      time.Duration
	sequences sync.Map
	repeated  atomic.Bool
}

// Renew answers as a leader whose changes are large.
func (c *controlVM) Renew(r *wire.RenewRequest, answer *wire.RenewResponse) error {
	if c.names != "" {
		answer.LeaderAddress = c.names
		return nil
	}
	if _, again := c.sequences.LoadOrStore(r.GetSequence(), true); again {
		c.repeated.Store(true)
	}
	time.Sleep(c.slow)
	answer.Accepted, answer.ControlTerm, answer.LeaseMilliseconds = true, 1, 2000
	answer.ConfigurationVersion, answer.ControlAddresses = c.inForce, c.addresses
	answer.ChangesApart = r.GetConfigurationVersion() < c.inForce
	return nil
}

// Changes answers with what this control VM has.
func (c *controlVM) Changes(_ *wire.ChangesRequest, answer *wire.ChangesResponse) error {
	c.asked.Add(1)
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

// renewUntil runs the client until its view has a configuration version, and on until stop.
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

type nothing struct{}

func (nothing) Report(time.Time, *wire.RenewRequest) bool { return false }

// TestLargeChangesAreAskedForApart: the VM takes large changes from whichever control VM has
// them, passing over one that has not applied them yet and one that is down.
func TestLargeChangesAreAskedForApart(t *testing.T) {
	is := is.New(t)
	objects := &wire.Objects{Objects: []*wire.Object{{Kind: "database", Name: "d", Body: []byte(`{"group":"g"}`)}}}
	leader := &controlVM{version: 5, inForce: 5, objects: objects}
	late := &controlVM{objects: &wire.Objects{}}
	address := serve(t, leader)
	leader.addresses = []string{"127.0.0.1:1", serve(t, late), address}

	v := view.New()
	client := &control.Client{VM: "e1", Addresses: []string{address}, View: v, Reporter: nothing{}}
	stop := renewUntil(t, client, v, 5)
	_, _, _, ok := v.Database("d")
	is.True(ok)
	is.Equal(leader.asked.Load(), int64(1))
	stop()
}

// TestLeaderIsFoundAmongTheSilent: control VMs that are not up yet answer nothing, and cost a VM
// that has just started no renewal.
func TestLeaderIsFoundAmongTheSilent(t *testing.T) {
	is := is.New(t)
	silent := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		return listener.Addr().String()
	}
	leader := &controlVM{version: 5, inForce: 5, objects: &wire.Objects{}}
	address := serve(t, leader)
	leader.addresses = []string{address}

	v := view.New()
	client := &control.Client{VM: "e1", Addresses: []string{address, silent(), silent()}, View: v, Reporter: nothing{}}
	stop := renewUntil(t, client, v, 5)
	is.Equal(client.Failures(), uint64(0))
	stop()
}

// TestLeaderIsAskedOnce: a leader that is being asked is not asked the same again because another
// control VM names it; it would take the second for an old one, and refuse.
func TestLeaderIsAskedOnce(t *testing.T) {
	is := is.New(t)
	leader := &controlVM{version: 5, inForce: 5, objects: &wire.Objects{}, slow: 30 * time.Millisecond}
	address := serve(t, leader)
	follower := serve(t, &controlVM{names: address})
	leader.addresses = []string{address, follower}

	v := view.New()
	client := &control.Client{VM: "e1", Addresses: []string{address, follower}, View: v, Reporter: nothing{}}
	stop := renewUntil(t, client, v, 5)
	is.True(!leader.repeated.Load())
	stop()
}
