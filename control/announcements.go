package control

import (
	"context"
	"time"

	"trefoilcourse/coord/announcement"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	// forwardQueue is how many announcements may wait to be passed on; servers whose announcements find it
	// full are sent to the leader instead.
	forwardQueue = 1024
	// maxForwarded is how many announcements one message to the leader carries.
	maxForwarded = 256
	// forwardTimeout leaves a server time to call the leader itself before it gives up after a second.
	forwardTimeout = 300 * time.Millisecond
)

// forwarding is an announcement that waits to be passed on to the leader.
type forwarding struct {
	leader       string
	announcement *wire.Announcement
	// accepted receives whether the leader has taken it.
	accepted chan bool
}

// ReceiveAnnouncement handles a backend server's announcement. A VM that does not lead passes it on, so
// that the connections of hundreds of servers are spread over all control VMs. If that fails, it returns
// the leader's address. An announcement that no server sends is a *announcement.Error.
func (s *Server) ReceiveAnnouncement(ctx context.Context, a *wire.Announcement) (accepted bool, leaderAddress string, err error) {
	if err := announcement.Check(a); err != nil {
		return false, "", err
	}
	leading := false
	ok := s.runInLoop(ctx, func(now time.Time) {
		if leading = s.leading(now); leading {
			s.leader.ReceiveAnnouncement(now, a)
		} else {
			leaderAddress = s.leaderAddress()
		}
	})
	if !ok || leading || leaderAddress == "" || leaderAddress == s.Settings.advertised() {
		return ok && leading, leaderAddress, nil
	}
	return s.forward(ctx, leaderAddress, a), leaderAddress, nil
}

// forward passes an announcement on to the leader and reports whether it has taken it.
func (s *Server) forward(ctx context.Context, leader string, a *wire.Announcement) bool {
	f := &forwarding{leader: leader, announcement: a, accepted: make(chan bool, 1)}
	select {
	case s.forwardings <- f:
	default:
		return false
	}
	select {
	case accepted := <-f.accepted:
		return accepted
	case <-s.loopDone:
	case <-ctx.Done():
	}
	return false
}

// forwardAnnouncements passes announcements on until ctx ends. Those that arrive during a call leave together
// with the next one, over one connection.
func (s *Server) forwardAnnouncements(ctx context.Context) {
	client := &protorpc.Client{Dialer: s.Dialer, Traffic: &s.traffic}
	defer func() { client.Close() }()
	for {
		var batch []*forwarding
		select {
		case <-ctx.Done():
			return
		case f := <-s.forwardings:
			batch = append(batch, f)
		}
		for len(batch) < maxForwarded && len(s.forwardings) > 0 {
			batch = append(batch, <-s.forwardings)
		}
		if leader := batch[len(batch)-1].leader; client.Address != leader {
			client.Close()
			client = &protorpc.Client{Address: leader, Dialer: s.Dialer, Traffic: &s.traffic}
		}
		accepted := sendForwardings(ctx, client, batch)
		for _, f := range batch {
			f.accepted <- accepted
		}
	}
}

// sendForwardings sends announcements to the leader in one message.
func sendForwardings(ctx context.Context, client *protorpc.Client, batch []*forwarding) (accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	request, response := &wire.AnnounceRequest{}, &wire.AnnounceResponse{}
	for _, f := range batch {
		request.Announcements = append(request.Announcements, f.announcement)
	}
	return client.Call(ctx, "Control.Announce", request, response) == nil && response.GetLeading()
}

// Announce handles announcements that another control VM passes on.
func (c *controlService) Announce(r *wire.AnnounceRequest, answer *wire.AnnounceResponse) error {
	s := c.s
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	ok := s.runInLoop(ctx, func(now time.Time) {
		if answer.Leading = s.leading(now); !answer.Leading {
			return
		}
		s.metrics.forwarded.Add(int64(len(r.GetAnnouncements())))
		for _, a := range r.GetAnnouncements() {
			s.leader.ReceiveAnnouncement(now, a)
		}
	})
	if !ok {
		return errStopping
	}
	return nil
}
