package control_test

import (
	"context"
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

// TestStopUnderLoad: calls that are under way when a control VM stops must not keep it from
// stopping; a stop once waited for calls that waited for the stopped loop.
func TestStopUnderLoad(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	server := &control.Server{
		Settings: control.Settings{VM: "c1", Listen: address, DataFolder: t.TempDir(), Peers: map[string]string{"c1": address}},
		Listener: listener, Log: quiet(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
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
	cancel()
	is.NoErr(<-ended)
	callers.Wait()
}
