package control_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/control"
	"trefoilcourse/control/internal/disk"
	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

// faulty is a data folder whose writes can fail or stall.
type faulty struct {
	*disk.Store
	full    atomic.Bool
	stalled atomic.Pointer[chan bool]
}

func (f *faulty) Save(e *raft.Effects) error {
	if wait := f.stalled.Load(); wait != nil {
		<-*wait
	}
	if f.full.Load() {
		return errors.New("no space left on device")
	}
	return f.Store.Save(e)
}

func startFaulty(t *testing.T) (*control.Server, *faulty) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	store, err := disk.Open(t.TempDir())
	is.NoErr(err)
	f := &faulty{Store: store}
	address := listener.Addr().String()
	s := &control.Server{
		Settings: control.Settings{VM: "c1", Listen: address, DataFolder: "unused", Peers: map[string]string{"c1": address}},
		Listener: listener, Log: quiet(), Store: f,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended) // a failing disk does not stop the daemon
	})
	return s, f
}

func publish(s *control.Server, number uint64) bool {
	answer, err := s.Publish(&wire.PublishRequest{Id: "p", Number: number, Document: []byte("{}")})
	return err == nil && answer.GetResult().GetAccepted()
}

func until(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}

func TestFullDisk(t *testing.T) {
	is := is.New(t)
	s, f := startFaulty(t)
	until(t, func() bool { return publish(s, 1) })
	f.full.Store(true)
	is.True(!publish(s, 2)) // a publish that is not on disk is not accepted
	f.full.Store(false)
	until(t, func() bool { return publish(s, 3) })
}

// TestStalledDisk checks that the loop answers calls while a write to the disk stalls.
func TestStalledDisk(t *testing.T) {
	is := is.New(t)
	s, f := startFaulty(t)
	until(t, func() bool { return publish(s, 1) })
	wait := make(chan bool)
	f.stalled.Store(&wait)
	stuck := make(chan bool, 1)
	go func() { stuck <- publish(s, 2) }()
	time.Sleep(50 * time.Millisecond)
	answer, err := s.Configuration()
	is.NoErr(err) // the loop is not blocked
	is.True(!answer.GetLeading() || string(answer.GetDocument()) == "{}")
	f.stalled.Store(nil)
	close(wait)
	<-stuck
	until(t, func() bool { return publish(s, 3) })
}

// TestDisksFullInTurn fills the disks of three control VMs one after the other, never two at once, with a
// change sent during each and after it: each change is accepted in the end, and so is one after the last.
func TestDisksFullInTurn(t *testing.T) {
	is := is.New(t)
	var servers []*control.Server
	var disks []*faulty
	peers := map[string]string{}
	var listeners []net.Listener
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, listener)
		peers[fmt.Sprintf("c%d", i)] = listener.Addr().String()
	}
	for i, listener := range listeners {
		store, err := disk.Open(t.TempDir())
		is.NoErr(err)
		disks = append(disks, &faulty{Store: store})
		server := &control.Server{
			Settings: control.Settings{VM: fmt.Sprintf("c%d", i), Listen: listener.Addr().String(), DataFolder: "unused", Peers: peers},
			Listener: listener, Log: quiet(), Store: disks[i],
		}
		servers = append(servers, server)
		stop := run(t, server)
		t.Cleanup(stop)
	}
	number := uint64(0)
	change := func() {
		number++
		r := &wire.PublishRequest{Id: fmt.Sprint("change ", number), Number: number, Document: []byte("{}")}
		until(t, func() bool {
			return slices.ContainsFunc(servers, func(s *control.Server) bool {
				answer, err := s.Publish(r)
				return err == nil && answer.GetResult().GetAccepted()
			})
		})
	}
	change()
	for turn := range 4 {
		disks[turn%3].full.Store(true)
		change()
		disks[turn%3].full.Store(false)
		change()
	}
	for _, s := range servers {
		until(t, func() bool {
			answer, err := s.Configuration()
			return err == nil && (answer.GetLeading() || answer.GetLeaderAddress() != "")
		})
	}
}
