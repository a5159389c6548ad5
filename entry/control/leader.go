package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
	"trefoilcourse/wire/tcp"
)

const (
	renewCallTimeout = 400 * time.Millisecond
	// maxParallelRenewals limits concurrent renewals while the leader is unknown. Concurrency keeps a
	// control VM that is not up yet from delaying discovery by renewCallTimeout.
	maxParallelRenewals = 3
	// leaderDiscoveryTimeout limits the wait for other responses once a control VM has no leader to
	// report or cannot be reached; it covers several round trips. It doubles with each attempt, so that
	// a leader that is slow to answer is found as well.
	leaderDiscoveryTimeout = 50 * time.Millisecond
)

var errNoLeader = errors.New("no control VM is the leader")

// sendRenewal sends the request to the known leader, or looks for the leader if none is known.
func (c *Client) sendRenewal(ctx context.Context, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	if c.leader == "" {
		return c.findLeader(ctx, request)
	}
	response, err := c.call(ctx, c.clientFor(c.leader), request)
	if err == nil && response.GetAccepted() {
		return response, nil
	}
	previous := c.leader
	c.leader = ""
	if next := response.GetLeaderAddress(); next != "" && next != previous {
		return c.sendToLeader(ctx, next, request)
	}
	if err == nil {
		err = errNoLeader
	}
	return nil, err
}

// sendToLeader sends the request to the control VM that another one named as the leader.
func (c *Client) sendToLeader(ctx context.Context, address string, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	response, err := c.call(ctx, c.clientFor(address), request)
	if err != nil {
		return nil, err
	}
	if !response.GetAccepted() {
		return nil, errNoLeader
	}
	c.leader = address
	return response, nil
}

type renewResult struct {
	address  string
	response *wire.RenewResponse
	err      error
}

// findLeader sends the request to several control VMs concurrently and follows a leader address that
// they return, unless that VM already has the request.
func (c *Client) findLeader(ctx context.Context, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := c.candidates()
	results := make(chan renewResult, len(candidates))
	for _, address := range candidates {
		client := c.clientFor(address)
		go func() {
			response, err := c.call(ctx, client, request)
			results <- renewResult{address, response, err}
		}()
	}
	wait := c.search.patience()
	var lastErr error
	var timeout <-chan time.Time
	for range candidates {
		select {
		case result := <-results:
			leader := result.response.GetLeaderAddress()
			switch {
			case result.err == nil && result.response.GetAccepted():
				c.leader = result.address
				return result.response, nil
			case result.err != nil:
				lastErr = result.err
			case leader != "" && !slices.Contains(candidates, leader):
				return c.sendToLeader(ctx, leader, request)
			default:
				lastErr = errNoLeader
			}
			if timeout == nil && leader == "" {
				timeout = time.After(wait)
			}
		case <-timeout:
			return nil, lastErr
		}
	}
	return nil, lastErr
}

// candidates returns the control VMs to try next. It rotates through the last known addresses and
// those of the settings, since either list may be out of date.
func (c *Client) candidates() []string {
	c.mu.Lock()
	addresses := slices.Concat(c.View.ControlAddresses(), c.Addresses)
	c.mu.Unlock()
	var selected []string
	for range addresses {
		c.nextCandidate++
		if address := addresses[c.nextCandidate%len(addresses)]; !slices.Contains(selected, address) {
			selected = append(selected, address)
		}
		if len(selected) == maxParallelRenewals {
			break
		}
	}
	return selected
}

func (c *Client) clientFor(address string) *protorpc.Client {
	client := c.clients[address]
	if client == nil {
		client = &protorpc.Client{Address: address, Dialer: c.Dialer, Traffic: c.Traffic, Delivered: tcp.Delivered}
		c.clients[address] = client
	}
	return client
}

func callRenew(ctx context.Context, client *protorpc.Client, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, renewCallTimeout)
	defer cancel()
	response := &wire.RenewResponse{}
	if err := client.Call(ctx, "Control.Renew", request, response); err != nil {
		return nil, err
	}
	return response, nil
}
