package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/control/internal/backend"
	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/promote"
	"trefoilcourse/wire"
)

const orderTimeout = 400 * time.Millisecond

// act carries out one decision of the leader.
func (s *Server) act(ctx context.Context, a leader.Action) {
	switch {
	case a.Record != nil:
		s.record(a.Group, a.Record)
	case a.Query != nil:
		s.query(ctx, a.Group, a.Query)
	case a.Promote != nil:
		s.promote(ctx, a.Group, *a.Promote)
	case a.Follow != "":
		s.follow(ctx, a.Group, a.Follow)
	}
}

// record proposes a primary once; the machine repeats the action until it is recorded.
func (s *Server) record(group string, p *promote.Primary) {
	data, err := proto.Marshal(leader.Record(group, p))
	if err != nil {
		s.Log.WithError(err).Error("primary does not encode")
		return
	}
	if s.commanded[group] > s.node.Commit() {
		return
	}
	s.commanded[group] = s.node.Propose(data)
	s.Log.WithFields(map[string]any{"group": group, "slot": p.Slot, "term": p.Term}).Info("records primary")
}

func (s *Server) client(group string) *backend.Client {
	return &backend.Client{Group: group, Dial: s.BackendDialer.DialContext}
}

// query asks slots for their status, one question to a slot at a time.
func (s *Server) query(ctx context.Context, group string, slots []string) {
	for _, slot := range slots {
		key := group + "/" + slot
		address := s.leader.Address(group, slot)
		if s.querying[key] {
			continue
		}
		s.querying[key] = true
		s.metrics.queries.Add(1)
		count := len(slots)
		go s.ask(ctx, group, slot, address, count)
	}
}

func (s *Server) ask(ctx context.Context, group, slot, address string, slots int) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status := promote.Status{Slot: slot, Asked: time.Now()}
	if address != "" {
		status = s.client(group).Status(callCtx, slot, address, slots)
	}
	s.do(ctx, func(time.Time) {
		delete(s.querying, group+"/"+slot)
		s.leader.Answer(group, status)
	})
}

func (s *Server) promote(ctx context.Context, group string, p promote.Primary) {
	address := s.leader.Address(group, p.Slot)
	s.order(ctx, group, p.Slot, address, func(ctx context.Context) error {
		return s.client(group).Promote(ctx, address, p.Term, p.Incarnations[p.Slot])
	})
}

func (s *Server) follow(ctx context.Context, group, slot string) {
	p := s.leader.Primary(group)
	address := s.leader.Address(group, slot)
	upstream := s.leader.Address(group, p.Slot)
	if upstream == "" {
		return
	}
	s.order(ctx, group, slot, address, func(ctx context.Context) error {
		return s.client(group).Follow(ctx, address, p.Term, upstream)
	})
}

// order runs one idempotent order to a slot unless one is under way; the machine repeats it
// until the server's status shows that it was carried out.
func (s *Server) order(ctx context.Context, group, slot, address string, f func(context.Context) error) {
	key := "order/" + group + "/" + slot
	if address == "" || s.querying[key] {
		return
	}
	s.querying[key] = true
	s.metrics.orders.Add(1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := f(callCtx)
		s.do(ctx, func(time.Time) {
			delete(s.querying, key)
			if err != nil {
				s.metrics.failedOrders.Add(1)
			}
		})
	}()
}

// operator carries out an operator's request.
func (s *Server) operator(now time.Time, r *wire.OperatorRequest) *wire.OperatorResponse {
	answer := &wire.OperatorResponse{Leading: true}
	var err error
	if r.GetDrainVm() != "" {
		err = s.leader.Drain(r.GetDrainVm())
	} else {
		err = s.leader.Force(now, r.GetPromoteGroup(), r.GetPromoteSlot(), r.GetAcceptLoss())
	}
	if err != nil {
		answer.Reason = err.Error()
		return answer
	}
	answer.Accepted = true
	return answer
}
