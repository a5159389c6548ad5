package control_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"trefoilcourse/control"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

// newServer returns a single control VM.
func newServer(t *testing.T) *control.Server {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	return &control.Server{
		Settings: control.Settings{VM: "c1", Listen: address, DataFolder: t.TempDir(), Peers: map[string]string{"c1": address}},
		Listener: listener, Log: quiet(),
	}
}

// run runs a control VM until stop.
func run(t *testing.T, server *control.Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	return func() {
		cancel()
		is.New(t).NoErr(<-ended)
	}
}

// start runs a single control VM and returns its address; ctx ends with it.
func start(t *testing.T) (address string, ctx context.Context, stop func()) {
	server := newServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	end := run(t, server)
	return server.Settings.Listen, ctx, func() {
		cancel()
		end()
	}
}

// TestPublishTwiceAtOnce checks that concurrent sends of one publish all get the same answer, and that
// only one of several publishes on the same version is accepted.
func TestPublishTwiceAtOnce(t *testing.T) {
	is := is.New(t)
	address, ctx, stop := start(t)
	defer stop()
	results := make(chan *wire.PublishResult, 40)
	var all sync.WaitGroup
	for k := range 40 {
		all.Go(func() {
			client := &protorpc.Client{Address: address}
			defer client.Close()
			request := &wire.PublishRequest{Id: string(rune('a' + k%4)), Author: "operator"}
			for ctx.Err() == nil {
				response := &wire.PublishResponse{}
				if client.Call(ctx, "Control.Publish", request, response) == nil && response.GetLeading() {
					results <- response.GetResult()
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	close(results)
	accepted := map[string]int{}
	refused := map[string]int{}
	for r := range results {
		if r.GetAccepted() {
			is.Equal(r.GetVersion(), uint64(1))
			accepted[r.GetId()]++
		} else {
			refused[r.GetId()]++
		}
	}
	is.Equal(len(accepted), 1)
	is.Equal(len(refused), 3)
	for _, count := range accepted {
		is.Equal(count, 10)
	}
}

// TestStopUnderLoad guards against a deadlock in which a stopping control VM waited for pending calls
// while these waited for the loop, which had ended.
func TestStopUnderLoad(t *testing.T) {
	address, ctx, stop := start(t)
	var callers sync.WaitGroup
	for range 32 {
		callers.Go(func() {
			client := &protorpc.Client{Address: address}
			defer client.Close()
			for ctx.Err() == nil {
				_ = client.Call(ctx, "Control.Renew", &wire.RenewRequest{Vm: "e1"}, &wire.RenewResponse{})
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	callers.Wait()
}

// TestObjectsAreCheckedAgainWhenTheyChange checks that the cache of valid objects is not used for a new
// body under the same name, and that references between objects are checked in every publish.
func TestObjectsAreCheckedAgainWhenTheyChange(t *testing.T) {
	is := is.New(t)
	address, ctx, stop := start(t)
	defer stop()
	client := &protorpc.Client{Address: address}
	defer client.Close()
	number := uint64(0)
	publish := func(objects ...*wire.Object) bool {
		number++
		for ctx.Err() == nil {
			response := &wire.PublishResponse{}
			request := &wire.PublishRequest{Id: fmt.Sprint(number), Number: number, Objects: objects}
			if client.Call(ctx, "Control.Publish", request, response) == nil && response.GetLeading() {
				return response.GetResult().GetAccepted()
			}
		}
		return false
	}
	group := &wire.Object{Kind: "database-group", Name: "g", Body: []byte(`{"announced":true,"connections":44,"acknowledge":"primary-only"}`)}
	database := func(group string) *wire.Object {
		return &wire.Object{Kind: "database", Name: "d", Body: []byte(`{"group":"` + group + `","consistency":"primary","statement-milliseconds":800}`)}
	}
	is.True(publish(group, database("g")))
	is.True(!publish(group, database("none")))
	is.True(!publish(database("g")))
	is.True(!publish(group, &wire.Object{Kind: "database", Name: "d", Body: []byte(`{"group":`)}))
	is.True(publish(group, database("g")))
}
