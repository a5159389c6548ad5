package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	renewTimeout = 400 * time.Millisecond
	// askedAtOnce is how many control VMs are asked at once while the leader is unknown: one that
	// is not up yet answers nothing for as long as a renewal may take.
	askedAtOnce = 3
	// otherAnswers is how long the others are waited for once one does not know a leader: several
	// round trips.
	otherAnswers = 50 * time.Millisecond
)

var errNoLeader = errors.New("no control VM leads")

// ask sends the request to the leader as far as it is known, and otherwise to some control VMs.
func (c *Client) ask(ctx context.Context, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	if c.leader == "" {
		return c.search(ctx, request)
	}
	response, err := call(ctx, c.client(c.leader), request)
	if err == nil && response.GetAccepted() {
		return response, nil
	}
	before := c.leader
	c.leader = ""
	if next := response.GetLeaderAddress(); next != "" && next != before {
		return c.askLeader(ctx, next, request)
	}
	if err == nil {
		err = errNoLeader
	}
	return nil, err
}

// askLeader asks a control VM that another has named as the leader.
func (c *Client) askLeader(ctx context.Context, address string, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	response, err := call(ctx, c.client(address), request)
	if err != nil {
		return nil, err
	}
	if !response.GetAccepted() {
		return nil, errNoLeader
	}
	c.leader = address
	return response, nil
}

type answer struct {
	address  string
	response *wire.RenewResponse
	err      error
}

// search asks some control VMs at once, and then whom they name as the leader.
func (c *Client) search(ctx context.Context, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := c.candidates()
	answers := make(chan answer, len(asked))
	for _, address := range asked {
		client := c.client(address)
		go func() {
			response, err := call(ctx, client, request)
			answers <- answer{address, response, err}
		}()
	}
	var last error
	var enough <-chan time.Time
	for range asked {
		select {
		case a := <-answers:
			leader := a.response.GetLeaderAddress()
			switch {
			case a.err == nil && a.response.GetAccepted():
				c.leader = a.address
				return a.response, nil
			case a.err != nil:
				last = a.err
			case leader != "" && !slices.Contains(asked, leader):
				return c.askLeader(ctx, leader, request)
			default:
				last = errNoLeader
			}
			if enough == nil && a.err == nil && leader == "" {
				enough = time.After(otherAnswers)
			}
		case <-enough:
			return nil, errNoLeader
		}
	}
	return nil, last
}

// candidates returns the control VMs to ask next: those last known to serve and those of the
// settings take turns, since either list may be out of date.
func (c *Client) candidates() []string {
	c.mu.Lock()
	all := slices.Concat(c.View.ControlAddresses(), c.Addresses)
	c.mu.Unlock()
	var next []string
	for range all {
		c.preferred++
		if address := all[c.preferred%len(all)]; !slices.Contains(next, address) {
			next = append(next, address)
		}
		if len(next) == askedAtOnce {
			break
		}
	}
	return next
}

func (c *Client) client(address string) *protorpc.Client {
	client := c.clients[address]
	if client == nil {
		client = &protorpc.Client{Address: address, Dialer: c.Dialer, Traffic: c.Traffic}
		c.clients[address] = client
	}
	return client
}

func call(ctx context.Context, client *protorpc.Client, request *wire.RenewRequest) (*wire.RenewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	response := &wire.RenewResponse{}
	if err := client.Call(ctx, "Control.Renew", request, response); err != nil {
		return nil, err
	}
	return response, nil
}
