package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/clock"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	// RenewInterval is the time between two renewals when nothing presses.
	RenewInterval = 500 * time.Millisecond
	// minRenewInterval is the least time between two renewals.
	minRenewInterval = 50 * time.Millisecond
	// renewalsPerLease lets two renewals fail before a lease ends.
	renewalsPerLease = 4
	maxAnnouncements = 4096
	// changesTimeout lets a configuration of thousands of objects cross a slow link that is in use.
	changesTimeout = 1500 * time.Millisecond
)

// Reporter tells what this VM holds and has found out.
type Reporter interface {
	// Report fills in holdings and observations and reports whether an early answer is wanted.
	Report(now time.Time, r *wire.RenewRequest) (urgent bool)
}

// Client renews with the control leader; set the exported fields before Run.
type Client struct {
	VM            string
	Incarnation   string
	FailureDomain string
	LinkAddress   string
	// Capacity is what this VM may use of a processor, in thousandths; 0 says nothing.
	Capacity uint32
	// Addresses are the control VMs' as the settings give them.
	Addresses []string
	// Dialer opens connections; nil means plain TCP.
	Dialer protorpc.Dialer
	// View takes the answers.
	View *view.View
	// Reporter is asked before each renewal.
	Reporter Reporter
	// Drain is called when the control leader asks this VM to drain; it must not block.
	Drain func()
	// Log receives losses of the control leader; nil means nobody.
	Log logrus.FieldLogger
	// Traffic counts the bytes.
	Traffic *protorpc.Traffic

	mu            sync.Mutex
	renewalRequested          chan struct{}
	draining      bool
	announcements map[string]*wire.Announcement
	sequence      uint64
	nextCandidate     int
	clients       map[string]*protorpc.Client
	leader        string
	failures      uint64
	leaderLost          bool
	// interval is the time between two renewals, a part of the lease that was last granted.
	interval time.Duration
	// fetching is set while changes are asked for by themselves; caught tells that it has ended.
	fetching bool
	fetchResult   chan error
}

// Prepare makes the client ready for Poke and Announce before Run.
func (c *Client) Prepare() {
	c.renewalRequested = make(chan struct{}, 1)
	c.announcements = map[string]*wire.Announcement{}
	c.clients = map[string]*protorpc.Client{}
	c.fetchResult = make(chan error, 1)
}

// RequestRenewal asks for a renewal soon.
func (c *Client) RequestRenewal() {
	select {
	case c.renewalRequested <- struct{}{}:
	default:
	}
}

// Announce passes a backend server's announcement on with the next renewal; one that changes
// what is known is passed on at once. It reports false when too many servers announce.
func (c *Client) Announce(a *wire.Announcement, urgent bool) bool {
	c.mu.Lock()
	key := a.GetGroup() + "/" + a.GetSlot()
	_, known := c.announcements[key]
	full := !known && len(c.announcements) >= maxAnnouncements
	if !full {
		c.announcements[key] = a
	}
	c.mu.Unlock()
	if urgent && !full {
		c.RequestRenewal()
	}
	return !full
}

// SetAddresses takes over addresses from changed settings.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Addresses = addresses
}

// SetDraining tells the control leader to give this VM no more groups.
func (c *Client) SetDraining() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.RequestRenewal()
}

// Failures returns how many renewals have failed.
func (c *Client) Failures() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures
}

// Run renews until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.close()
	for {
		urgent := c.renew(ctx)
		c.finishFetch()
		wait := c.interval
		if wait == 0 {
			wait = RenewInterval
		}
		if urgent {
			wait = 2 * minRenewInterval
		}
		if !c.waitForRenewal(ctx, wait) {
			return nil
		}
	}
}

func (c *Client) close() {
	if c.fetching {
		<-c.fetchResult
	}
	for _, client := range c.clients {
		client.Close()
	}
}

// waitForRenewal waits for the time, or less when poked; false means that ctx has ended.
func (c *Client) waitForRenewal(ctx context.Context, wait time.Duration) bool {
	minimum := time.NewTimer(minRenewInterval)
	defer minimum.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-minimum.C:
	}
	remaining := time.NewTimer(wait - minRenewInterval)
	defer remaining.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.renewalRequested:
	case <-remaining.C:
	}
	return true
}

// renew makes one renewal and reports whether the next is wanted early.
func (c *Client) renew(ctx context.Context) bool {
	request, sent := c.newRequest()
	urgent := c.Reporter.Report(clock.Now(), request)
	start := clock.Now()
	response, err := c.sendRenewal(ctx, request)
	c.recordResult(err, clock.Now().Sub(start))
	if err != nil {
		return true
	}
	previous := c.View.Version()
	if !c.View.Answered(start, response) {
		return true
	}
	if version := c.View.Version(); version != previous {
		c.logConfiguration(previous, len(response.GetObjects()), 0, start)
	}
	c.dropSent(sent)
	if response.GetChangesApart() && !c.fetching {
		c.fetching = true
		go func() { c.fetchResult <- c.fetchChanges(ctx) }()
	}
	granted := time.Duration(response.GetLeaseMilliseconds()) * time.Millisecond
	c.interval = min(RenewInterval, max(2*minRenewInterval, granted/renewalsPerLease))
	if response.GetDrain() {
		c.Drain()
	}
	return urgent || response.GetSoon()
}

// recordResult counts a failed renewal, and logs when the control leader is lost or heard again.
func (c *Client) recordResult(err error, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasLost := c.leaderLost
	c.leaderLost = err != nil
	if err != nil {
		c.failures++
	}
	if c.Log == nil || wasLost == c.leaderLost {
		return
	}
	log := c.Log.WithFields(logrus.Fields{"took-ms": took.Milliseconds(), "leader": c.leader, "failures": c.failures})
	if err != nil {
		log.WithError(err).Warn("control leader is lost")
	} else {
		log.Info("control leader is heard again")
	}
}

func (c *Client) newRequest() (*wire.RenewRequest, map[string]*wire.Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	request := &wire.RenewRequest{
		Vm: c.VM, Incarnation: c.Incarnation, FailureDomain: c.FailureDomain,
		LinkAddress: c.LinkAddress, Draining: c.draining, Sequence: c.sequence, Capacity: c.Capacity,
	}
	sent := map[string]*wire.Announcement{}
	for key, a := range c.announcements {
		sent[key] = a
		request.Announcements = append(request.Announcements, a)
	}
	c.View.Fill(request)
	return request, sent
}

// dropSent drops the announcements that were passed on and not replaced since.
func (c *Client) dropSent(sent map[string]*wire.Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, a := range sent {
		if c.announcements[key] == a {
			delete(c.announcements, key)
		}
	}
}
