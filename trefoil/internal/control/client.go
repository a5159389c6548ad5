package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	callTimeout  = 5 * time.Second
	retryPause   = 200 * time.Millisecond
	idBytes      = 8
	pollInterval = 100 * time.Millisecond
)

var errNoLeader = errors.New("no control VM leads now")

// Client asks the control leader, wherever it is.
type Client struct {
	// Addresses are the control VMs'.
	Addresses []string
	// Dialer opens connections; nil means plain TCP.
	Dialer protorpc.Dialer
}

type leadable interface {
	proto.Message
	GetLeading() bool
	GetLeaderAddress() string
}

// call asks each control VM, and the leader that they name, until ctx ends.
func (c *Client) call(ctx context.Context, method string, request proto.Message, response leadable) error {
	err := errNoLeader
	for {
		hints := append([]string(nil), c.Addresses...)
		for i := 0; i < len(hints) && i < 2*len(c.Addresses); i++ {
			proto.Reset(response)
			failure := c.callAt(ctx, hints[i], method, request, response)
			if failure != nil {
				err = failure
				continue
			}
			if response.GetLeading() {
				return nil
			}
			if hint := response.GetLeaderAddress(); hint != "" {
				hints = append(hints, hint)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no control VM of %v answers as leader: %w", c.Addresses, err)
		case <-time.After(retryPause):
		}
	}
}

func (c *Client) callAt(ctx context.Context, address, method string, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := &protorpc.Client{Address: address, Dialer: c.Dialer}
	defer client.Close()
	return client.Call(ctx, method, request, response)
}

// NewID returns a publish id that nobody else uses.
func NewID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// Publish publishes a whole set of objects; sending one id again gives its first outcome.
func (c *Client) Publish(ctx context.Context, r *wire.PublishRequest) (*wire.PublishResult, error) {
	response := &wire.PublishResponse{}
	if err := c.call(ctx, "Control.Publish", r, response); err != nil {
		return nil, err
	}
	return response.GetResult(), nil
}

// Configuration returns the configuration in force and its history.
func (c *Client) Configuration(ctx context.Context) (*wire.ConfigurationResponse, error) {
	response := &wire.ConfigurationResponse{}
	return response, c.call(ctx, "Control.Configuration", &wire.ConfigurationRequest{}, response)
}

// Status returns the leader's view; InForce is about version.
func (c *Client) Status(ctx context.Context, version uint64) (*wire.StatusResponse, error) {
	response := &wire.StatusResponse{}
	return response, c.call(ctx, "Control.Status", &wire.StatusRequest{Version: version}, response)
}

// Operate carries out an operator's order.
func (c *Client) Operate(ctx context.Context, r *wire.OperatorRequest) (*wire.OperatorResponse, error) {
	response := &wire.OperatorResponse{}
	return response, c.call(ctx, "Control.Operate", r, response)
}

// AwaitInForce waits until a version is in force on every entry VM, and calls progress with how
// many have confirmed it.
func (c *Client) AwaitInForce(ctx context.Context, version uint64, progress func(confirmed, all int)) error {
	for {
		status, err := c.Status(ctx, version)
		if err != nil {
			return err
		}
		confirmed := 0
		for _, m := range status.GetMembers() {
			if m.GetConfigurationVersion() >= version {
				confirmed++
			}
		}
		progress(confirmed, len(status.GetMembers()))
		if status.GetInForce() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is accepted but not yet confirmed in force everywhere: %w", version, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
