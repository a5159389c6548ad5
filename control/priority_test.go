package control_test

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/control"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// waitLimit ends a test that would hang.
const waitLimit = 30 * time.Second

func waitUntil(t *testing.T, condition func() bool) {
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitLimit {
			t.Fatal("condition not met")
		}
	}
}

// TestAgreementGoesBeforeRenewals checks that messages of another control VM do not wait behind the
// calls of entry VMs that came before them.
func TestAgreementGoesBeforeRenewals(t *testing.T) {
	is := is.New(t)
	server := newServer(t)
	stop := run(t, server)
	defer stop()
	const renewals, messages = 200, 20
	var mu sync.Mutex
	var order []string
	record := func(name string) func() {
		return func() {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, name)
		}
	}
	blocked, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release() // before stop, which waits for the loop
	var calls sync.WaitGroup
	calls.Go(func() { server.RunInLoop(false, func() { close(blocked); <-released }) })
	<-blocked
	for range renewals {
		calls.Go(func() { server.RunInLoop(false, record("renewal")) })
	}
	waitUntil(t, func() bool { _, others := server.QueuedCalls(); return others >= renewals })
	client := &protorpc.Client{Address: server.Settings.Listen}
	defer client.Close()
	calls.Go(func() {
		is.NoErr(client.Call(context.Background(), "Agreement.Step", &wire.AgreementMessage{}, &wire.Empty{}))
	})
	for range messages {
		calls.Go(func() { server.RunInLoop(true, record("agreement")) })
	}
	waitUntil(t, func() bool { agreement, _ := server.QueuedCalls(); return agreement == messages+1 })
	release()
	calls.Wait()
	is.Equal(slices.Index(order, "renewal"), messages)
}

// silentPeer is a control VM whose answers never come.
type silentPeer struct {
	received chan uint64
	release  chan struct{}
}

// Step records a message and does not answer.
func (p *silentPeer) Step(m *wire.AgreementMessage, _ *wire.Empty) error {
	p.received <- m.GetRound()
	<-p.release
	return nil
}

// TestHeartbeatsDoNotWaitForAnswers checks that messages to another control VM leave although those
// before them have not been answered.
func TestHeartbeatsDoNotWaitForAnswers(t *testing.T) {
	is := is.New(t)
	const rounds = 5
	peer := &silentPeer{received: make(chan uint64, rounds), release: make(chan struct{})}
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Agreement", peer))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go server.ServeCodec(protorpc.NewServerCodec(conn, nil))
		}
	}()
	var messages []*wire.AgreementMessage
	for round := range uint64(rounds) {
		messages = append(messages, &wire.AgreementMessage{Round: round})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		control.SendToPeer(ctx, listener.Addr().String(), messages)
		close(ended)
	}()
	for range rounds {
		<-peer.received
	}
	is.Equal(len(accepted), 1) // no message had to time out first
	cancel()
	close(peer.release)
	<-ended
}

// TestRecentTermsAreCounted checks that only terms of the last seconds before the current one count.
func TestRecentTermsAreCounted(t *testing.T) {
	is := is.New(t)
	var h control.TermHistory
	now := time.Unix(1000, 0)
	h.Observe(now, 1)
	is.Equal(h.Restarts(now), 0)
	for term := range uint64(4) {
		now = now.Add(time.Second)
		h.Observe(now, 2+term)
		h.Observe(now, 2+term)
	}
	is.Equal(h.Restarts(now), 4)
	is.Equal(h.Restarts(now.Add(time.Minute)), 0)
}
