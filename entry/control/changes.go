package control

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

var errNothingNewer = errors.New("no control VM has a newer configuration")

// catchUp takes over the changes that were too large for a renewal, from the first control VM
// that has them.
func (c *Client) catchUp(ctx context.Context) error {
	held := c.View.Version()
	asked := clock.Now()
	last := errNothingNewer
	for _, address := range c.sources() {
		changes, err := c.changes(ctx, address, held)
		if err != nil {
			last = err
			continue
		}
		if changes.GetVersion() <= held {
			continue
		}
		count, err := c.View.ApplyChanges(changes)
		if err != nil {
			last = fmt.Errorf("from control VM %s: %w", address, err)
			continue
		}
		c.logInForce(held, count, len(changes.GetPacked()), asked)
		return nil
	}
	return last
}

// sources returns the control VMs in an order of this VM's own, so that many VMs that ask at
// once spread over them.
func (c *Client) sources() []string {
	addresses := slices.Clone(c.View.ControlAddresses())
	if len(addresses) == 0 {
		return nil
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(c.VM))
	first := int(sum.Sum32() % uint32(len(addresses)))
	return slices.Concat(addresses[first:], addresses[:first])
}

// changes asks one control VM, on a connection of its own: renewals are not to wait behind it.
func (c *Client) changes(ctx context.Context, address string, held uint64) (*wire.ChangesResponse, error) {
	client := &protorpc.Client{Address: address, Dialer: c.Dialer, Traffic: c.Traffic}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	answer := &wire.ChangesResponse{}
	return answer, client.Call(ctx, "Control.Changes", &wire.ChangesRequest{Version: held}, answer)
}

// noteCaught takes note of the end of catchUp; after a failure the next renewal starts another.
func (c *Client) noteCaught() {
	select {
	case err := <-c.caught:
		c.catching = false
		if err != nil && c.Log != nil {
			c.Log.WithError(err).WithField("version", c.View.Version()).Warn("changes of the configuration could not be had")
		}
	default:
	}
}

func (c *Client) logInForce(before uint64, objects, bytes int, asked time.Time) {
	if c.Log == nil {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"version": c.View.Version(), "before": before, "objects": objects, "packed-bytes": bytes,
		"took-ms": clock.Now().Sub(asked).Milliseconds(),
	}).Info("configuration comes into force here")
}
