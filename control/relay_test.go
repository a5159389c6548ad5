package control_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/control"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// vm runs a control VM on its own loopback address until stop is called.
func vm(t *testing.T, ip, folder string, founds bool, seeds ...string) (stop func()) {
	is := is.New(t)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
	is.NoErr(err)
	server := &control.Server{
		Settings: control.Settings{
			VM: ip, Listen: net.JoinHostPort(ip, port), DataFolder: folder, Seeds: seeds, Bootstrap: founds,
		},
		Listener: listener, Log: quiet(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		is.NoErr(<-ended)
	})
}

// leaderBy calls a control VM that does not lead until it returns the leader's address.
func leaderBy(ctx context.Context, ip string) string {
	client := &protorpc.Client{Address: net.JoinHostPort(ip, port)}
	defer client.Close()
	for ctx.Err() == nil {
		response := &wire.RenewResponse{}
		err := client.Call(ctx, "Control.Renew", &wire.RenewRequest{Vm: "e1"}, response)
		if err == nil && !response.GetAccepted() && response.GetLeaderAddress() != "" {
			return response.GetLeaderAddress()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ""
}

// membersBy returns the number of members that a leader reports, once there are as many as wanted.
func membersBy(ctx context.Context, leader string, wanted int) int {
	client := &protorpc.Client{Address: leader}
	defer client.Close()
	status := &wire.StatusResponse{}
	for ctx.Err() == nil {
		if client.Call(ctx, "Control.Status", &wire.StatusRequest{}, status) == nil && len(status.GetControl().GetMembers()) >= wanted {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return len(status.GetControl().GetMembers())
}

// TestVMWithoutDataSendsOthersOn checks that a control VM without a data folder never becomes a member
// and answers with the leader's address.
func TestVMWithoutDataSendsOthersOn(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	defer vm(t, founder, t.TempDir(), true, founder)()
	defer vm(t, relay, "", true, founder)()
	leader := leaderBy(ctx, relay)
	is.Equal(leader, net.JoinHostPort(founder, port))
	is.Equal(membersBy(ctx, leader, 1), 1) // the VM without a data folder is not a member
}

// TestRelayAmongTheFirstSeeds checks that a seed without a data folder is not an initial member, so
// that the cluster forms without it.
func TestRelayAmongTheFirstSeeds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	defer vm(t, relay, "", true, founder, relay)()
	defer vm(t, founder, t.TempDir(), true, founder, relay)()
	is.Equal(membersBy(ctx, net.JoinHostPort(founder, port), 1), 1)
}

// TestOnlyRelaysAsSeeds restarts all VMs with a seed that has no data folder: it learns the leader from
// the members, and a VM with a wiped folder learns it from the seed.
func TestOnlyRelaysAsSeeds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	folder := t.TempDir()
	stop := vm(t, founder, folder, true, founder)
	is.Equal(membersBy(ctx, net.JoinHostPort(founder, port), 1), 1)
	stop()

	defer vm(t, relay, "", false, relay)()
	defer vm(t, founder, folder, false, relay)()
	leader := leaderBy(ctx, relay)
	is.Equal(leader, net.JoinHostPort(founder, port))
	defer vm(t, wiped, t.TempDir(), false, relay)()
	is.Equal(membersBy(ctx, leader, 2), 2)
}

const (
	// founder, relay and wiped are loopback addresses of VMs that listen on one port.
	founder = "127.0.3.1"
	relay   = "127.0.3.2"
	wiped   = "127.0.3.3"
	port    = "39173"
)
