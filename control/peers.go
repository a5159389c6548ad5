package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/roster"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	peerQueue = 256
	// maxPeerCalls is how many messages to a peer may be in flight, the heartbeats of several election
	// timeouts.
	maxPeerCalls = 32
	peerTimeout  = 300 * time.Millisecond
	joinInterval = 250 * time.Millisecond
	// redirectRefreshInterval is how late a VM without a data folder may learn of a new leader:
	// redirected clients ask another VM after a second.
	redirectRefreshInterval = 500 * time.Millisecond
)

// peer sends messages to one other control VM in order, without waiting for each other's responses.
type peer struct {
	client *protorpc.Client
	queue  chan *wire.AgreementMessage
	// slots limits the calls that wait for a response.
	slots chan struct{}
	ended chan struct{}
}

func newPeer(client *protorpc.Client) *peer {
	return &peer{
		client: client,
		queue:  make(chan *wire.AgreementMessage, peerQueue),
		slots:  make(chan struct{}, maxPeerCalls),
		ended:  make(chan struct{}),
	}
}

func (s *Server) send(ctx context.Context, m *wire.AgreementMessage) {
	address := s.memberAddress(m.GetTo())
	if address == "" {
		return
	}
	m.FromAddress = s.Settings.advertised()
	if m.GetKind() == wire.AgreementKind_AGREEMENT_KIND_SNAPSHOT {
		m.Snapshot = s.snapshot
	}
	p := s.peers[address]
	if p == nil {
		p = newPeer(&protorpc.Client{Address: address, Dialer: s.Dialer, Traffic: &s.traffic})
		s.peers[address] = p
		go p.run(ctx)
	}
	select {
	case p.queue <- m:
	default:
		s.metrics.dropped.Add(1)
	}
}

func (p *peer) run(ctx context.Context) {
	defer close(p.ended)
	defer func() {
		p.client.Close()
		for range maxPeerCalls {
			p.slots <- struct{}{}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			p.call(ctx, m)
		}
	}
}

// call sends one message; errors are ignored, since the protocol tolerates lost messages.
func (p *peer) call(ctx context.Context, m *wire.AgreementMessage) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	wait, err := p.client.Start(ctx, "Agreement.Step", m, &wire.Empty{})
	if err != nil {
		cancel()
		<-p.slots
		return
	}
	go func() {
		defer cancel()
		_ = wait()
		<-p.slots
	}()
}

func (s *Server) memberAddress(key string) string {
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == key {
			return m.GetAddress()
		}
	}
	if address := s.peerAddresses[key]; address != "" {
		return address
	}
	for vm, address := range s.Settings.Peers {
		if len(key) > len(vm) && key[:len(vm)+1] == vm+"/" {
			return address
		}
	}
	return ""
}

// join calls other control VMs while this one is not an active member. A VM with an empty data folder
// forms a cluster only if the folders of all other initial members are empty too, so that a wiped VM
// never forms a second cluster.
func (s *Server) join(ctx context.Context) error {
	clients := map[string]*protorpc.Client{}
	defer func() {
		for _, client := range clients {
			client.Close()
		}
	}()
	interval := joinInterval
	if s.diskless {
		interval = redirectRefreshInterval
	}
	for {
		settled := false
		var members, strangers []string
		if !s.runUrgent(ctx, func(now time.Time) {
			settled = s.participates(now)
			members = s.joinAddresses()
			strangers = s.nonMemberSeeds()
		}) {
			return nil
		}
		switch {
		case !settled:
			s.discoverMembers(ctx, clients, members)
		case len(strangers) > 0:
			s.callJoin(ctx, clients, s.self(), strangers, map[string]bool{})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// isDiskless reports whether a control VM has no data folder, and therefore no incarnation.
func isDiskless(m *wire.ControlMember) bool { return m.GetIncarnation() == "" }

// joinAddresses returns the addresses to call to find the cluster: those in the settings, the
// members, and the members that have called a VM without a data folder.
func (s *Server) joinAddresses() []string {
	addresses := s.Settings.configuredAddresses()
	for _, m := range slices.Concat(s.node.Membership().GetMembers(), s.learnedMembership.GetMembers()) {
		addresses = append(addresses, m.GetAddress())
	}
	return slices.AppendSeq(addresses, maps.Values(s.memberAddresses))
}

// nonMemberSeeds returns the seeds that are not members. They may have no data folder; after all VMs
// have stopped they learn the members only from these calls.
func (s *Server) nonMemberSeeds() []string {
	var strangers []string
	for _, seed := range s.Settings.seedAddresses() {
		member := slices.ContainsFunc(s.node.Membership().GetMembers(), func(m *wire.ControlMember) bool { return m.GetAddress() == seed })
		if !member && seed != s.Settings.advertised() {
			strangers = append(strangers, seed)
		}
	}
	return strangers
}

// rememberMember stores the address of a member that called a VM without a data folder.
func (s *Server) rememberMember(caller *wire.ControlMember) {
	_, known := s.memberAddresses[caller.GetVm()]
	if !isDiskless(caller) && (known || len(s.memberAddresses) < maxPeerAddresses) {
		s.memberAddresses[caller.GetVm()] = caller.GetAddress()
	}
}

// preferredLeader returns the leader's address after one more answer; the answer of a VM that names
// itself takes precedence over others.
func preferredLeader(known string, answer *wire.JoinResponse) string {
	said := answer.GetLeaderAddress()
	if said != "" && (known == "" || said == answer.GetSelf().GetAddress()) {
		return said
	}
	return known
}

// setRedirectTarget sets the leader to which a VM without a data folder redirects; "" means unknown.
func (s *Server) setRedirectTarget(leader string) {
	if leader != s.redirectTarget {
		s.Log.WithFields(map[string]any{"leader": leader, "before": s.redirectTarget}).Info("redirect target changed")
		s.redirectTarget = leader
	}
}

func (s *Server) self() *wire.ControlMember {
	return &wire.ControlMember{
		Vm: s.Settings.VM, Incarnation: s.store.Incarnation(), Address: s.Settings.advertised(),
	}
}

// discoverMembers calls all addresses in parallel, and then those of the members in the answers.
func (s *Server) discoverMembers(ctx context.Context, clients map[string]*protorpc.Client, addresses []string) {
	self := s.self()
	empty := []*wire.ControlMember{proto.CloneOf(self)}
	if s.diskless {
		empty = nil
	}
	asked := map[string]bool{s.Settings.advertised(): true}
	founders := s.Settings.bootstrapSize()
	leader := ""
	var learned *wire.Membership
	for len(addresses) > 0 {
		var next []string
		for _, answer := range s.callJoin(ctx, clients, self, addresses, asked) {
			leader = preferredLeader(leader, answer)
			members := answer.GetMembership().GetMembers()
			if len(members) > 0 && !isDiskless(answer.GetSelf()) {
				learned = answer.GetMembership()
			}
			for _, m := range members {
				next = append(next, m.GetAddress())
			}
			if isDiskless(answer.GetSelf()) {
				founders--
			} else if len(members) > 0 {
				s.runUrgent(ctx, func(now time.Time) { s.adoptMembership(now, answer.GetMembership()) })
				empty = nil
			} else if empty != nil && (answer.GetBootstrapping() || len(s.Settings.Seeds) == 0) {
				empty = append(empty, answer.GetSelf())
			}
		}
		addresses = next
	}
	if s.diskless {
		s.runUrgent(ctx, func(time.Time) {
			s.setRedirectTarget(leader)
			if learned != nil {
				s.learnedMembership = learned
			}
		})
	}
	if len(empty) > 0 {
		s.runUrgent(ctx, func(now time.Time) {
			if len(empty) == founders {
				s.bootstrap(now, empty)
			}
		})
	}
}

// callJoin calls Agreement.Join at the addresses that have not been called yet and returns the answers.
func (s *Server) callJoin(ctx context.Context, clients map[string]*protorpc.Client, self *wire.ControlMember, addresses []string, asked map[string]bool) []*wire.JoinResponse {
	answers := make(chan *wire.JoinResponse, len(addresses))
	count := 0
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		client := clients[address]
		if client == nil {
			client = &protorpc.Client{Address: address, Dialer: s.Dialer, Traffic: &s.traffic}
			clients[address] = client
		}
		count++
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answer := &wire.JoinResponse{}
			if client.Call(callCtx, "Agreement.Join", self, answer) != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	var got []*wire.JoinResponse
	for range count {
		if answer := <-answers; answer != nil {
			got = append(got, answer)
		}
	}
	return got
}

// adoptMembership initializes the data folder with the membership of a formed cluster if this
// incarnation is a voter in it.
func (s *Server) adoptMembership(now time.Time, m *wire.Membership) {
	for _, member := range m.GetMembers() {
		if raft.MemberKey(member) == s.key() && member.GetVoter() && !s.hasState {
			s.initialize(now, m)
		}
	}
}

func (s *Server) bootstrap(now time.Time, members []*wire.ControlMember) {
	if s.hasState {
		return
	}
	s.initialize(now, roster.InitialMembership(members))
	s.Log.WithField("members", len(members)).Info("formed the cluster of control VMs")
}

// initialize saves m as the initial membership of an empty data folder.
func (s *Server) initialize(now time.Time, m *wire.Membership) {
	if s.pendingSave != nil {
		// The caller retries within joinInterval.
		return
	}
	if err := s.store.Bootstrap(m); err != nil {
		s.Log.WithError(err).Error("cannot save the initial membership")
		return
	}
	if err := s.restart(now); err != nil {
		s.Log.WithError(err).Error("cannot read back the initial membership")
	}
}
