package control_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/control"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// TestVMWithoutDataSendsOthersOn: a control VM without a data folder never takes part, answers
// with the leader's address, and learns of a later one.
func TestVMWithoutDataSendsOthersOn(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	listen := func(ip string) net.Listener {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		is.NoErr(err)
		return l
	}
	run := func(vm, ip, folder string, founds bool) (stop func()) {
		server := &control.Server{
			Settings: control.Settings{
				VM: vm, Listen: net.JoinHostPort(ip, port), DataFolder: folder, Seeds: []string{founder}, Bootstrap: founds,
			},
			Listener: listen(ip), Log: quiet(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		return func() {
			cancel()
			is.NoErr(<-ended)
		}
	}
	stop := run("c1", founder, t.TempDir(), true)
	defer stop()
	defer run("c2", relay, "", true)()

	client := &protorpc.Client{Address: net.JoinHostPort(relay, port)}
	defer client.Close()
	leader := ""
	for leader == "" && ctx.Err() == nil {
		response := &wire.RenewResponse{}
		is.NoErr(client.Call(ctx, "Control.Renew", &wire.RenewRequest{Vm: "e1"}, response))
		is.True(!response.GetAccepted())
		leader = response.GetLeaderAddress()
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(leader, net.JoinHostPort(founder, port))

	status := &wire.StatusResponse{}
	direct := &protorpc.Client{Address: leader}
	defer direct.Close()
	is.NoErr(direct.Call(ctx, "Control.Status", &wire.StatusRequest{}, status))
	is.Equal(len(status.GetControl().GetMembers()), 1) // the one without data is no member
}

const (
	// founder and relay are loopback addresses of two VMs that listen on one port.
	founder = "127.0.3.1"
	relay   = "127.0.3.2"
	port    = "39173"
)
