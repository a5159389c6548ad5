package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	peerQueue    = 256
	peerTimeout  = 300 * time.Millisecond
	joinInterval = 250 * time.Millisecond
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
	for vm, address := range s.Settings.Peers {
		if len(key) > len(vm) && key[:len(vm)+1] == vm+"/" {
			return address
		}
	}
	return ""
}

// join asks the peers until this VM is a voting member: a VM with an empty folder forms a
// cluster only when every peer is there and empty too, so that a wiped VM never forms another.
func (s *Server) join(ctx context.Context) error {
	clients := map[string]*protorpc.Client{}
	for vm, address := range s.Settings.Peers {
		if vm != s.Settings.VM {
			clients[vm] = &protorpc.Client{Address: address, Dialer: s.Dialer, Traffic: &s.traffic}
			defer clients[vm].Close()
		}
	}
	for {
		member := false
		if !s.do(ctx, func(time.Time) { member = s.isVoter() }) {
			return nil
		}
		if !member {
			s.askPeers(ctx, clients)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinInterval):
		}
	}
}

func (s *Server) isVoter() bool {
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == s.key() {
			return m.GetVoter()
		}
	}
	return false
}

func (s *Server) askPeers(ctx context.Context, clients map[string]*protorpc.Client) {
	self := &wire.ControlMember{
		Vm: s.Settings.VM, Incarnation: s.store.Incarnation(), Address: s.Settings.Peers[s.Settings.VM],
	}
	everyone := []*wire.ControlMember{proto.CloneOf(self)}
	for _, client := range clients {
		answer := &wire.JoinResponse{}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := client.Call(callCtx, "Agreement.Join", self, answer)
		cancel()
		if err != nil {
			continue
		}
		if len(answer.GetMembership().GetMembers()) > 0 {
			s.do(ctx, func(now time.Time) { s.adopt(now, answer.GetMembership()) })
			return
		}
		everyone = append(everyone, answer.GetSelf())
	}
	if len(everyone) == len(s.Settings.Peers) {
		s.do(ctx, func(now time.Time) { s.form(now, everyone) })
	}
}

// adopt takes the membership of a formed cluster if this life of the folder belongs to it.
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
	for _, m := range members {
		m.Voter = true
	}
	s.start(now, &wire.Membership{Members: sortMembers(members)})
	s.Log.WithField("members", len(members)).Info("forms the control VMs")
}

// start makes m the membership of an empty folder.
func (s *Server) start(now time.Time, m *wire.Membership) {
	if err := s.store.Form(m); err != nil {
		s.Log.WithError(err).Error("the first membership could not be saved")
		return
	}
	if err := s.restart(now); err != nil {
		s.Log.WithError(err).Error("the first membership could not be read back")
	}
}
