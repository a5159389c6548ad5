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
	// RenewInterval is the time between two renewals if the control leader does not give it.
	RenewInterval = 500 * time.Millisecond
	// minRenewInterval is the shortest time between two renewals.
	minRenewInterval = 50 * time.Millisecond
	maxAnnouncements = 4096
	// renewalsPerLease allows for two failed renewals before a lease expires.
	renewalsPerLease = 4
	// changesTimeout allows for a configuration of thousands of objects over a slow, busy link.
	changesTimeout = 1500 * time.Millisecond
)

// Reporter supplies the holdings and observations of this VM.
type Reporter interface {
	// Report fills in holdings and observations and reports whether the next renewal is urgent.
	Report(now time.Time, r *wire.RenewRequest) (urgent bool)
}

// Client renews the VM's leases with the control leader; set the exported fields before Run.
type Client struct {
	VM            string
	Incarnation   string
	FailureDomain string
	LinkAddress   string
	// Capacity is the processor capacity of this VM in thousandths of a processor; 0 means unspecified.
	Capacity uint32
	// Addresses are the control VM addresses from the settings.
	Addresses []string
	// Dialer opens connections; nil means plain TCP.
	Dialer protorpc.Dialer
	// View is updated from the responses.
	View *view.View
	// Reporter is asked before each renewal.
	Reporter Reporter
	// Applied is called with each response that was applied and when its request was sent; nil ignores
	// them. It must not block.
	Applied func(sentAt time.Time, response *wire.RenewResponse)
	// Drain is called when the control leader asks this VM to drain; it must not block.
	Drain func()
	// Log receives losses of the control leader and applied configurations; nil disables logging.
	Log logrus.FieldLogger
	// Traffic counts the bytes exchanged with control VMs.
	Traffic *protorpc.Traffic

	mu               sync.Mutex
	renewalRequested chan struct{}
	draining         bool
	announcements    map[string]*wire.Announcement
	sequence         uint64
	nextCandidate    int
	clients          map[string]*protorpc.Client
	leader           string
	failures         uint64
	leaderLost       bool
	search           searchTimer
	// call makes one renewal call; tests replace it.
	call func(ctx context.Context, client *protorpc.Client, request *wire.RenewRequest) (*wire.RenewResponse, error)
	// fetching is set while fetchChanges runs; fetchResult receives its result.
	fetching    bool
	fetchResult chan error
}

// Prepare initializes the client; call it before RequestRenewal, Announce and Run.
func (c *Client) Prepare() {
	c.renewalRequested = make(chan struct{}, 1)
	c.announcements = map[string]*wire.Announcement{}
	c.clients = map[string]*protorpc.Client{}
	c.fetchResult = make(chan error, 1)
	c.call = callRenew
}

// RequestRenewal triggers an early renewal without blocking.
func (c *Client) RequestRenewal() {
	select {
	case c.renewalRequested <- struct{}{}:
	default:
	}
}

// Announce queues a backend server's announcement for the next renewal; an urgent one also triggers
// an early renewal. It reports false when too many announcements are queued.
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

// SetAddresses replaces Addresses after the settings have changed.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Addresses = addresses
}

// SetDraining reports in renewals that this VM drains, so that it is assigned no more groups.
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
		wait := c.renew(ctx)
		c.finishFetch()
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

// waitForRenewal waits until the next renewal is due or requested, and reports false if ctx has ended.
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

// renew makes one renewal and returns how long to wait until the next.
func (c *Client) renew(ctx context.Context) time.Duration {
	request, sent := c.newRequest()
	urgent := c.Reporter.Report(clock.Now(), request)
	start := clock.Now()
	response, err := c.sendRenewal(ctx, request)
	c.recordResult(err, clock.Now().Sub(start))
	if err != nil {
		return c.search.next()
	}
	c.search.found(time.Duration(response.GetSearchMilliseconds()) * time.Millisecond)
	previous := c.View.Version()
	if !c.View.ApplyRenewal(start, response) {
		return c.search.next()
	}
	if c.Applied != nil {
		c.Applied(start, response)
	}
	if version := c.View.Version(); version != previous {
		c.logConfiguration(previous, len(response.GetObjects()), 0, start)
	}
	c.dropSent(sent)
	if response.GetChangesApart() && !c.fetching {
		c.fetching = true
		go func() { c.fetchResult <- c.fetchChanges(ctx) }()
	}
	if response.GetDrain() {
		c.Drain()
	}
	if urgent {
		return urgentInterval(response)
	}
	return renewInterval(response)
}

// urgentInterval returns when to renew after an answer while something is urgent.
func urgentInterval(response *wire.RenewResponse) time.Duration {
	return max(2*minRenewInterval, time.Duration(response.GetUrgentMilliseconds())*time.Millisecond)
}

// renewInterval returns when to renew after an answer; one of an earlier version gives no time.
func renewInterval(response *wire.RenewResponse) time.Duration {
	if interval := time.Duration(response.GetRenewMilliseconds()) * time.Millisecond; interval > 0 {
		return max(minRenewInterval, interval)
	}
	if response.GetSoon() {
		return 2 * minRenewInterval
	}
	granted := time.Duration(response.GetLeaseMilliseconds()) * time.Millisecond
	return min(RenewInterval, max(2*minRenewInterval, granted/renewalsPerLease))
}

// recordResult counts a failed renewal, and logs when contact with the leader is lost or restored.
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
		log.WithError(err).Warn("lost contact with the control leader")
	} else {
		log.Info("contact with the control leader restored")
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
	c.View.FillVersions(request)
	return request, sent
}

// dropSent removes the sent announcements that have not been replaced since.
func (c *Client) dropSent(sent map[string]*wire.Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, a := range sent {
		if c.announcements[key] == a {
			delete(c.announcements, key)
		}
	}
}
