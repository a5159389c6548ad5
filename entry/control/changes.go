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

var errNoNewerConfiguration = errors.New("no control VM has a newer configuration")

// fetchChanges applies changes that were too large for a renewal response, from the first control VM
// that has them.
func (c *Client) fetchChanges(ctx context.Context) error {
	version := c.View.Version()
	start := clock.Now()
	lastErr := errNoNewerConfiguration
	for _, address := range c.changeSources() {
		changes, err := c.requestChanges(ctx, address, version)
		if err != nil {
			lastErr = err
			continue
		}
		if changes.GetVersion() <= version {
			continue
		}
		count, err := c.View.ApplyChanges(changes)
		if err != nil {
			lastErr = fmt.Errorf("from control VM %s: %w", address, err)
			continue
		}
		c.logConfiguration(version, count, len(changes.GetPacked()), start)
		return nil
	}
	return lastErr
}

// changeSources returns the control VMs starting at an offset derived from the VM's name, so that the
// load of concurrent fetches is spread over them.
func (c *Client) changeSources() []string {
	addresses := slices.Clone(c.View.ControlAddresses())
	if len(addresses) == 0 {
		return nil
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(c.VM))
	first := int(hash.Sum32() % uint32(len(addresses)))
	return slices.Concat(addresses[first:], addresses[:first])
}

// requestChanges fetches changes from one control VM over a separate connection, so that renewals do
// not wait behind a large response.
func (c *Client) requestChanges(ctx context.Context, address string, version uint64) (*wire.ChangesResponse, error) {
	client := &protorpc.Client{Address: address, Dialer: c.Dialer, Traffic: c.Traffic}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	response := &wire.ChangesResponse{}
	return response, client.Call(ctx, "Control.Changes", &wire.ChangesRequest{Version: version}, response)
}

// finishFetch handles the result of fetchChanges; after a failure the next renewal starts another.
func (c *Client) finishFetch() {
	select {
	case err := <-c.fetchResult:
		c.fetching = false
		if err != nil && c.Log != nil {
			c.Log.WithError(err).WithField("version", c.View.Version()).Warn("fetching configuration changes failed")
		}
	default:
	}
}

func (c *Client) logConfiguration(previous uint64, objects, bytes int, start time.Time) {
	if c.Log == nil {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"version": c.View.Version(), "before": previous, "objects": objects, "packed-bytes": bytes,
		"took-ms": clock.Now().Sub(start).Milliseconds(),
	}).Info("configuration applied")
}
