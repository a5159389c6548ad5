package runner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/runner"
	"trefoilcourse/wire"
)

// press has callers read from a database without a pause until the test ends.
func (o *owner) press(database string, callers int) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for ctx.Err() == nil {
				o.execute(read(database))
				time.Sleep(time.Millisecond)
			}
		})
	}
	o.t.Cleanup(func() {
		cancel()
		all.Wait()
	})
}

func (o *owner) found() wire.PrimaryHealth {
	request := &wire.RenewRequest{}
	o.runner.Report(o.clock(), request)
	for _, one := range request.GetObservations() {
		return one.GetHealth()
	}
	return wire.PrimaryHealth_PRIMARY_HEALTH_UNKNOWN
}

// TestPrimaryAloneIsReportedAsOverloaded: the owner says so when reads find every replica too far
// behind and the primary cannot do them all; a replica that serves reads makes it no news.
func TestPrimaryAloneIsReportedAsOverloaded(t *testing.T) {
	is := is.New(t)
	var lags atomic.Bool
	lags.Store(true)
	var position atomic.Uint64
	o := own(t, func(slot, _ string, floor session.Position) (runner.Reply, error) {
		time.Sleep(8 * time.Millisecond)
		if slot == "p" {
			return good(100 + position.Add(1)), nil
		}
		if lags.Load() {
			reply := good(1)
			reply.Result = runner.Lagging
			return reply, nil
		}
		return good(floor.Offset), nil
	})
	is.Equal(o.found(), wire.PrimaryHealth_PRIMARY_HEALTH_GOOD)
	o.press("hasty", 12)
	await := func(wanted wire.PrimaryHealth) {
		for range 10 {
			for range 500 {
				if o.found() == wanted {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}
		t.Fatalf("found %v, wanted %v", o.found(), wanted)
	}
	await(wire.PrimaryHealth_PRIMARY_HEALTH_OVERLOADED)
	lags.Store(false)
	await(wire.PrimaryHealth_PRIMARY_HEALTH_GOOD)
}

// TestNoReliefForWhatOnlyThePrimaryMayRun: replicas could take none of it, however fresh.
func TestNoReliefForWhatOnlyThePrimaryMayRun(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) {
		time.Sleep(8 * time.Millisecond)
		return good(100), nil
	})
	o.press("exact-hasty", 12)
	for range 2000 {
		is.True(o.found() != wire.PrimaryHealth_PRIMARY_HEALTH_OVERLOADED)
		time.Sleep(time.Millisecond)
	}
}
