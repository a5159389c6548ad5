package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/control/internal/backend"
	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/promote"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	orderTimeout = 400 * time.Millisecond
	// platformTimeout is longer, since the platform that promotes the servers of an announced group
	// may be slow.
	platformTimeout = 1500 * time.Millisecond
)

// Order is an order to a backend server to lead or to follow.
type Order struct {
	Group   string
	Slot    string
	Address string
	// Primary is the recorded primary of the group.
	Primary promote.Primary
	// Upstream is the address of the server to follow.
	Upstream string
	// Holder and Token fence the order: a later leader has a higher token.
	Holder string
	Token  uint64
	// Valid reports whether the order may still be sent.
	Valid func() bool
}

// Backends queries backend servers and sends them orders; every order is idempotent.
type Backends interface {
	// Status queries a server; if it does not answer, the status has no incarnation.
	Status(ctx context.Context, group, slot, address string, slots int) promote.Status
	// Promote orders a server to lead; ErrRefused means that it will not.
	Promote(ctx context.Context, o Order) error
	// Follow orders a server to follow the recorded primary.
	Follow(ctx context.Context, o Order) error
}

// ErrRefused means that an order was refused permanently.
var ErrRefused = errors.New("the order is refused")

// postgres is Backends over PostgreSQL's protocol.
type postgres struct {
	dialer protorpc.Dialer
}

func (p postgres) client(group string) *backend.Client {
	return &backend.Client{Group: group, Dial: p.dialer.DialContext}
}

// Status implements Backends.
func (p postgres) Status(ctx context.Context, group, slot, address string, slots int) promote.Status {
	return p.client(group).Status(ctx, slot, address, slots)
}

// Promote implements Backends.
func (p postgres) Promote(ctx context.Context, o Order) error {
	return p.client(o.Group).Promote(ctx, o.Address, o.Primary.Term, o.Primary.Incarnations[o.Slot])
}

// Follow implements Backends.
func (p postgres) Follow(ctx context.Context, o Order) error {
	return p.client(o.Group).Follow(ctx, o.Address, o.Primary.Term, o.Upstream)
}

// runAction runs an action that the leader decided on.
func (s *Server) runAction(ctx context.Context, a leader.Action) {
	switch {
	case a.Transition != nil:
		message := "group changed its state"
		if a.Transition.From == a.Transition.To {
			message = "group changed what it waits for"
		}
		s.Log.WithFields(logrus.Fields{
			"group": a.Group, "from": a.Transition.From, "to": a.Transition.To, "why": a.Transition.Reason, "evidence": a.Transition.Evidence,
			"primary-term": s.leader.Primary(a.Group).Term, "term": s.node.Term(),
		}).Info(message)
	case a.Owners != nil:
		s.proposeCommand("owners/"+a.Group, &wire.Command{Owners: a.Owners}, logrus.Fields{"group": a.Group, "owners": a.Owners.GetVms(), "former": a.Owners.GetFormer()})
	case a.Server != nil:
		s.proposeCommand("server/"+a.Group+"/"+a.Server.GetSlot(), &wire.Command{Server: a.Server}, logrus.Fields{
			"group": a.Group, "slot": a.Server.GetSlot(), "address": a.Server.GetAddress(), "born": a.Server.GetBorn(),
			"sequence": a.Server.GetSequence(), "leaving": a.Server.GetLeaving(), "gone": a.Server.GetGone(),
		})
	case a.Record != nil:
		s.recordPrimary(a.Group, a.Record)
	case a.Query != nil:
		s.query(ctx, a.Group, a.Query)
	case a.Promote != nil:
		s.promote(ctx, a.Group, *a.Promote)
	case a.Follow != "":
		s.follow(ctx, a.Group, a.Follow)
	}
}

// recordPrimary proposes to record a primary.
func (s *Server) recordPrimary(group string, p *promote.Primary) {
	s.proposeCommand(group, leader.RecordCommand(group, p), logrus.Fields{"group": group, "slot": p.Slot, "primary-term": p.Term})
}

// proposeCommand proposes a command unless an earlier proposal for the key is uncommitted; the
// leader repeats the action until it is recorded.
func (s *Server) proposeCommand(key string, c *wire.Command, fields logrus.Fields) {
	if s.proposedIndex[key] > s.node.Commit() {
		return
	}
	data, err := proto.Marshal(c)
	if err != nil {
		s.Log.WithError(err).WithFields(fields).Error("cannot encode the command")
		return
	}
	s.proposedIndex[key] = s.node.Propose(data)
	s.Log.WithFields(fields).WithFields(logrus.Fields{"term": s.node.Term(), "index": s.proposedIndex[key]}).Info("command proposed")
}

// query has the status of slots queried, with at most one query in flight for each slot.
func (s *Server) query(ctx context.Context, group string, slots []string) {
	now := clock.Now()
	for _, slot := range slots {
		s.questions.Add(now, promote.Question{Group: group, Slot: slot}, s.leader.Urgency(now, group, slot))
	}
	s.sendQuestions(ctx, now)
}

// sendQuestions sends the status queries that are due.
func (s *Server) sendQuestions(ctx context.Context, now time.Time) {
	for _, q := range s.questions.Take(now) {
		s.metrics.queries.Add(1)
		go s.fetchStatus(ctx, q, s.leader.Address(q.Group, q.Slot), s.leader.Slots(q.Group))
	}
}

func (s *Server) fetchStatus(ctx context.Context, q promote.Question, address string, slots int) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status := promote.Status{Slot: q.Slot, QueriedAt: clock.Now()}
	if address != "" {
		status = s.Backends.Status(callCtx, q.Group, q.Slot, address, slots)
	}
	s.runUrgent(ctx, func(time.Time) {
		s.questions.Done(q)
		s.leader.ReceiveStatus(q.Group, status)
	})
}

func (s *Server) promote(ctx context.Context, group string, p promote.Primary) {
	timeout := orderTimeout
	if s.leader.Announced(group) {
		timeout = platformTimeout
	}
	o := s.newOrder(ctx, group, p.Slot, p)
	s.order(ctx, o, timeout, func(ctx context.Context) error { return s.Backends.Promote(ctx, o) })
}

func (s *Server) follow(ctx context.Context, group, slot string) {
	p := s.leader.Primary(group)
	o := s.newOrder(ctx, group, slot, p)
	o.Upstream = s.leader.Address(group, p.Slot)
	if o.Upstream == "" {
		return
	}
	s.order(ctx, o, orderTimeout, func(ctx context.Context) error { return s.Backends.Follow(ctx, o) })
}

func (s *Server) newOrder(ctx context.Context, group, slot string, p promote.Primary) Order {
	term := s.leadingTerm
	return Order{
		Group: group, Slot: slot, Address: s.leader.Address(group, slot), Primary: p,
		Holder: s.Settings.VM, Token: term,
		Valid: func() bool {
			valid := false
			s.runUrgent(ctx, func(now time.Time) { valid = s.leading(now) && s.leadingTerm == term })
			return valid
		},
	}
}

// order sends an idempotent order to a slot unless one is in flight; the group's state machine repeats
// it until the server's status shows that it was carried out.
func (s *Server) order(ctx context.Context, o Order, timeout time.Duration, f func(context.Context) error) {
	key := "order/" + o.Group + "/" + o.Slot
	if o.Address == "" || s.inFlight[key] {
		return
	}
	s.inFlight[key] = true
	s.metrics.orders.Add(1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err := f(callCtx)
		s.runUrgent(ctx, func(now time.Time) {
			delete(s.inFlight, key)
			s.handleOrderResult(now, o, err)
		})
	}()
}

func (s *Server) handleOrderResult(now time.Time, o Order, err error) {
	log := s.Log.WithFields(map[string]any{
		"group": o.Group, "slot": o.Slot, "term": o.Primary.Term, "token": o.Token, "primary": o.Primary.Slot,
	})
	if err == nil {
		log.Info("order completed")
		return
	}
	s.metrics.failedOrders.Add(1)
	log.WithError(err).Warn("order failed")
	if errors.Is(err, ErrRefused) {
		s.leader.PromotionRefused(now, o.Group, o.Primary)
	}
}

// operator runs an operator's request.
func (s *Server) operator(now time.Time, r *wire.OperatorRequest) *wire.OperatorResponse {
	answer := &wire.OperatorResponse{Leading: true}
	var err error
	if r.GetDrainVm() != "" {
		err = s.leader.Drain(r.GetDrainVm())
	} else {
		err = s.leader.ForceFailover(now, r.GetPromoteGroup(), r.GetPromoteSlot(), r.GetAcceptLoss())
	}
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	answer.Accepted = true
	return answer
}
