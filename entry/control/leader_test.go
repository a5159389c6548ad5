package control_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/entry/control"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
)

var errRefused = errors.New("connection refused")

// restart is the control VMs after all VMs have lost power: one stays dark, one has no process yet, and
// one leads from a time on and answers after a delay.
type restart struct {
	leads time.Time
	delay time.Duration
}

// call answers a renewal as one of the control VMs.
func (r *restart) call(ctx context.Context, address string) (*wire.RenewResponse, error) {
	switch address {
	case "dark":
		<-ctx.Done()
		return nil, ctx.Err()
	case "down":
		return nil, errRefused
	}
	if time.Now().Before(r.leads) {
		return &wire.RenewResponse{}, nil
	}
	select {
	case <-time.After(r.delay):
		return &wire.RenewResponse{Accepted: true, ControlTerm: 1, LeaseMilliseconds: 1600}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type silentReporter struct{}

// Report reports nothing.
func (silentReporter) Report(time.Time, *wire.RenewRequest) bool { return false }

// TestNewLeaderIsFoundSoon checks that an entry VM waits neither for control VMs that do not answer nor
// for those that cannot be reached, and that it finds a leader that is slow to answer.
func TestNewLeaderIsFoundSoon(t *testing.T) {
	for _, c := range []struct {
		addresses                 []string
		leadsAfter, delay, within time.Duration
	}{
		{[]string{"dark", "down", "leader"}, 0, 0, 0},
		{[]string{"dark", "down", "leader"}, 30 * time.Millisecond, 0, 200 * time.Millisecond},
		{[]string{"leader", "dark", "down", "down2"}, 0, 0, 200 * time.Millisecond},
		{[]string{"dark", "down", "leader"}, 0, 300 * time.Millisecond, 1200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &restart{leads: time.Now().Add(c.leadsAfter), delay: c.delay}
			client := &control.Client{VM: "e1", Addresses: c.addresses, View: view.New(), Reporter: silentReporter{}}
			client.Prepare()
			client.SetCall(func(ctx context.Context, address string) (*wire.RenewResponse, error) {
				if address == "down2" {
					address = "down"
				}
				return r.call(ctx, address)
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- client.Run(ctx) }()
			time.Sleep(c.within)
			synctest.Wait()
			is.Equal(client.Leader(), "leader")
			cancel()
			is.NoErr(<-ended)
		})
	}
}
