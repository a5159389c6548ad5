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
	peerQueue    = 256
	peerTimeout  = 300 * time.Millisecond
	joinInterval = 250 * time.Millisecond
	// relayInterval is how late a VM that keeps nothing may learn of a new leader: those whom it
	// sends on ask another VM after a second.
	relayInterval = 500 * time.Millisecond
)

// peer sends messages to one other control VM, one at a time.
type peer struct {
	client *protorpc.Client
	queue  chan *wire.AgreementMessage
	ended  chan struct{}
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
		p = &peer{
			client: &protorpc.Client{Address: address, Dialer: s.Dialer, Traffic: &s.traffic},
			queue:  make(chan *wire.AgreementMessage, peerQueue),
			ended:  make(chan struct{}),
		}
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
	defer p.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			p.call(ctx, m)
		}
	}
}

// call sends one message; a failure is a lost message, which the protocol allows.
func (p *peer) call(ctx context.Context, m *wire.AgreementMessage) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_ = p.client.Call(ctx, "Agreement.Step", m, &wire.Empty{})
}

func (s *Server) memberAddress(key string) string {
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == key {
			return m.GetAddress()
		}
	}
	if address := s.heardFrom[key]; address != "" {
		return address
	}
	for vm, address := range s.Settings.Peers {
		if len(key) > len(vm) && key[:len(vm)+1] == vm+"/" {
			return address
		}
	}
	return ""
}

// join asks other control VMs as long as this one does not take part. A VM with
// an empty folder forms a system only together with every other founder, all of them empty, so
// that a wiped VM never forms another.
func (s *Server) join(ctx context.Context) error {
	clients := map[string]*protorpc.Client{}
	defer func() {
		for _, client := range clients {
			client.Close()
		}
	}()
	interval := joinInterval
	if s.relays {
		interval = relayInterval
	}
	for {
		settled := false
		var members, strangers []string
		if !s.do(ctx, func(now time.Time) {
			settled = s.belongs(now)
			members = s.acquaintances()
			strangers = s.strangers()
		}) {
			return nil
		}
		switch {
		case !settled:
			s.askPeers(ctx, clients, members)
		case len(strangers) > 0:
			s.askAll(ctx, clients, s.self(), strangers, map[string]bool{})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// keepsNothing reports whether a control VM has no data folder, and so no life of its own.
func keepsNothing(m *wire.ControlMember) bool { return m.GetIncarnation() == "" }

// acquaintances returns where other control VMs may be asked for: those that the settings name,
// the members, and the members that a VM which keeps nothing has met.
func (s *Server) acquaintances() []string {
	addresses := s.Settings.known()
	for _, m := range slices.Concat(s.node.Membership().GetMembers(), s.learned.GetMembers()) {
		addresses = append(addresses, m.GetAddress())
	}
	return slices.AppendSeq(addresses, maps.Values(s.met))
}

// strangers returns the seeds that are no members. They may keep nothing, and when all VMs have
// stopped, nobody else tells them who the members are.
func (s *Server) strangers() []string {
	var strangers []string
	for _, seed := range s.Settings.seedAddresses() {
		member := slices.ContainsFunc(s.node.Membership().GetMembers(), func(m *wire.ControlMember) bool { return m.GetAddress() == seed })
		if !member && seed != s.Settings.advertised() {
			strangers = append(strangers, seed)
		}
	}
	return strangers
}

// meet has a VM that keeps nothing remember where a member calls from.
func (s *Server) meet(caller *wire.ControlMember) {
	if !keepsNothing(caller) {
		s.met[caller.GetVm()] = caller.GetAddress()
	}
}

// betterLeader returns the leader's address after one more answer: the word of a VM that leads
// goes before that of VMs that follow one.
func betterLeader(known string, answer *wire.JoinResponse) string {
	said := answer.GetLeaderAddress()
	if said != "" && (known == "" || said == answer.GetSelf().GetAddress()) {
		return said
	}
	return known
}

// relayTo has a VM that keeps nothing send others to a leader; none may be known.
func (s *Server) relayTo(leader string) {
	if leader != s.relayedTo {
		s.Log.WithFields(map[string]any{"leader": leader, "before": s.relayedTo}).Info("sends others on to another leader")
		s.relayedTo = leader
	}
}

func (s *Server) self() *wire.ControlMember {
	return &wire.ControlMember{
		Vm: s.Settings.VM, Incarnation: s.store.Incarnation(), Address: s.Settings.advertised(),
	}
}

// askPeers asks every known address at once, and then those that the answers name.
func (s *Server) askPeers(ctx context.Context, clients map[string]*protorpc.Client, addresses []string) {
	self := s.self()
	empty := []*wire.ControlMember{proto.CloneOf(self)}
	if s.relays {
		empty = nil
	}
	asked := map[string]bool{s.Settings.advertised(): true}
	founders := s.Settings.founders()
	leader := ""
	var learned *wire.Membership
	for len(addresses) > 0 {
		var next []string
		for _, answer := range s.askAll(ctx, clients, self, addresses, asked) {
			leader = betterLeader(leader, answer)
			members := answer.GetMembership().GetMembers()
			if len(members) > 0 && !keepsNothing(answer.GetSelf()) {
				learned = answer.GetMembership()
			}
			for _, m := range members {
				next = append(next, m.GetAddress())
			}
			if keepsNothing(answer.GetSelf()) {
				founders--
			} else if len(members) > 0 {
				s.do(ctx, func(now time.Time) { s.adopt(now, answer.GetMembership()) })
				empty = nil
			} else if empty != nil && (answer.GetBootstrapping() || len(s.Settings.Seeds) == 0) {
				empty = append(empty, answer.GetSelf())
			}
		}
		addresses = next
	}
	if s.relays {
		s.do(ctx, func(time.Time) {
			s.relayTo(leader)
			if learned != nil {
				s.learned = learned
			}
		})
	}
	if len(empty) > 0 {
		s.do(ctx, func(now time.Time) {
			if len(empty) == founders {
				s.form(now, empty)
			}
		})
	}
}

// askAll returns the answers of those addresses that have not been asked yet.
func (s *Server) askAll(ctx context.Context, clients map[string]*protorpc.Client, self *wire.ControlMember, addresses []string, asked map[string]bool) []*wire.JoinResponse {
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

// adopt takes the membership of a formed system if this life of the folder belongs to it.
func (s *Server) adopt(now time.Time, m *wire.Membership) {
	for _, member := range m.GetMembers() {
		if raft.MemberKey(member) == s.key() && member.GetVoter() && !s.formed {
			s.start(now, m)
		}
	}
}

func (s *Server) form(now time.Time, members []*wire.ControlMember) {
	if s.formed {
		return
	}
	s.start(now, roster.InitialMembership(members))
	s.Log.WithField("members", len(members)).Info("forms the control VMs")
}

// start makes m the membership of an empty folder.
func (s *Server) start(now time.Time, m *wire.Membership) {
	if s.saving != nil {
		// It is asked for again within joinInterval.
		return
	}
	if err := s.store.Bootstrap(m); err != nil {
		s.Log.WithError(err).Error("the first membership could not be saved")
		return
	}
	if err := s.restart(now); err != nil {
		s.Log.WithError(err).Error("the first membership could not be read back")
	}
}
