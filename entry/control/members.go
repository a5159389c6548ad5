package control

import (
	"context"
	"slices"
	"time"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// membersTimeout is the time for one control VM to answer.
const membersTimeout = time.Second

// Members returns the entry VMs with a cancel hash, from the control leader.
func (c *Client) Members(ctx context.Context, hash uint16) ([]*wire.Member, error) {
	c.mu.Lock()
	addresses := slices.Concat(c.View.ControlAddresses(), c.Addresses)
	c.mu.Unlock()
	lastErr := errNoLeader
	for i := 0; i < len(addresses); i++ {
		if slices.Contains(addresses[:i], addresses[i]) {
			continue
		}
		response, err := c.requestMembers(ctx, addresses[i], hash)
		switch {
		case err != nil:
			lastErr = err
		case response.GetLeading():
			return response.GetMembers(), nil
		case response.GetLeaderAddress() != "" && !slices.Contains(addresses, response.GetLeaderAddress()):
			addresses = append(addresses, response.GetLeaderAddress())
		}
	}
	return nil, lastErr
}

func (c *Client) requestMembers(ctx context.Context, address string, hash uint16) (*wire.MembersResponse, error) {
	client := &protorpc.Client{Address: address, Dialer: c.Dialer, Traffic: c.Traffic}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	response := &wire.MembersResponse{}
	return response, client.Call(ctx, "Control.Members", &wire.MembersRequest{CancelHash: uint32(hash)}, response)
}
