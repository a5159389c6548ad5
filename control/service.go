package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/protorpc"
)

const (
	publishTimeout = 3 * time.Second
	// readTimeout is how long a read of the configuration waits for a VM that cannot serve yet; callers
	// try another after a second.
	readTimeout = time.Second
	// addressesEvery is how many renewals of a VM that knows the term have one answer with the addresses of
	// the control VMs. Those of 12 VMs are more than the rest of an answer, and change seldom.
	addressesEvery = 8
	// renewalPatience is how long entry VMs wait for the answer to a renewal.
	renewalPatience = 400 * time.Millisecond
	// callAllowance is what each connection may hold without asking: some renewals.
	callAllowance = 32 << 10
)

var (
	errStopping  = errors.New("this control VM is stopping or has not started")
	errAbandoned = errors.New("nobody waits for the answer to the renewal any more")
)

const (
	// maxNameBytes exceeds every name and address of a VM.
	maxNameBytes = 512
	// maxPeerAddresses is many times the control VMs that there can be, with their earlier incarnations.
	maxPeerAddresses = 1024
)

// checkNames returns an error for a name that no VM has: the tables of VMs keep names that are sent.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return fmt.Errorf("a name or address has %d bytes; at most %d are accepted", len(name), maxNameBytes)
		}
	}
	return nil
}

// accept serves connections of the system's processes until the listener is closed.
func (s *Server) accept(ctx context.Context, listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Agreement", &agreementService{s}); err != nil {
		return err
	}
	if err := server.RegisterName("Control", &controlService{s}); err != nil {
		return err
	}
	var open sync.WaitGroup
	defer open.Wait()
	listener = s.Pressure.Limit("links", listener, s.Settings.Limits().Links, "")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		open.Go(func() {
			defer stop()
			memory := &conns.Memory{Account: s.Memory.Open(callAllowance, func() { _ = conn.Close() })}
			defer memory.Close()
			server.ServeCodec(protorpc.NewLimitedServerCodec(conn, &s.traffic, protorpc.Limits{Memory: memory}))
		})
	}
}

// agreementService serves calls of other control VMs.
type agreementService struct{ s *Server }

// Step passes a message of the agreement protocol to the node.
func (a *agreementService) Step(m *wire.AgreementMessage, _ *wire.Empty) error {
	if err := checkNames(m.GetFrom(), m.GetFromAddress()); err != nil {
		return err
	}
	a.s.prepare()
	if !a.s.runThrough(context.Background(), a.s.agreementCalls, func(now time.Time) { a.s.step(now, m) }) {
		return errStopping
	}
	return nil
}

func (s *Server) step(now time.Time, m *wire.AgreementMessage) {
	_, known := s.peerAddresses[m.GetFrom()]
	if m.GetFromAddress() != "" && (known || len(s.peerAddresses) < maxPeerAddresses) {
		s.peerAddresses[m.GetFrom()] = m.GetFromAddress()
	}
	s.node.Step(now, m)
}

// Join handles a call of a control VM that looks for the cluster.
func (a *agreementService) Join(newcomer *wire.ControlMember, answer *wire.JoinResponse) error {
	s := a.s
	if err := checkNames(newcomer.GetVm(), newcomer.GetIncarnation(), newcomer.GetAddress()); err != nil {
		return err
	}
	ok := s.runUrgent(context.Background(), func(now time.Time) {
		answer.Self = s.self()
		answer.LeaderAddress = s.leaderAddress()
		if s.leading(now) {
			answer.LeaderAddress = s.Settings.advertised()
		}
		answer.Bootstrapping = s.Settings.Bootstrap
		if s.diskless {
			s.rememberMember(newcomer)
			answer.Membership = proto.CloneOf(s.learnedMembership)
			return
		}
		if !s.hasState {
			return
		}
		answer.Membership = proto.CloneOf(s.node.Membership())
		if s.node.Role() == raft.Leader && !isDiskless(newcomer) {
			s.addLearner(newcomer)
		}
	})
	if !ok {
		return errStopping
	}
	return nil
}

// controlService serves calls of entry VMs and operators.
type controlService struct{ s *Server }

// Renew handles the periodic renewal request of an entry VM.
func (c *controlService) Renew(r *wire.RenewRequest, answer *wire.RenewResponse) error {
	s := c.s
	if err := checkNames(r.GetVm(), r.GetIncarnation(), r.GetFailureDomain(), r.GetLinkAddress()); err != nil {
		return err
	}
	received := clock.Now()
	s.latestRenewals.receive(r)
	abandoned := false
	ok := s.runInLoop(context.Background(), func(now time.Time) {
		s.metrics.renewals.Add(1)
		if abandoned = now.Sub(received) > renewalPatience || s.latestRenewals.superseded(r); abandoned {
			s.metrics.abandoned.Add(1)
			return
		}
		if !s.leading(now) {
			answer.LeaderAddress = s.leaderAddress()
			return
		}
		share(answer, s.leader.Renew(now, r))
		if r.GetDirectoryEpoch() == s.leadingTerm && r.GetSequence()%addressesEvery != 0 {
			return
		}
		for _, m := range s.node.Membership().GetMembers() {
			answer.ControlAddresses = append(answer.ControlAddresses, m.GetAddress())
		}
	})
	if !ok {
		return errStopping
	}
	if abandoned {
		return errAbandoned
	}
	return nil
}

// share sets the fields of answer to those of m, without a copy of what they refer to: the directory's
// entries in it never change, and a copy of hundreds of them takes the loop longer than the renewal.
func share(answer, m *wire.RenewResponse) {
	to := answer.ProtoReflect()
	m.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		to.Set(field, value)
		return true
	})
}

// Changes returns the configuration changes since a version. Any control VM answers, since what it has
// applied is committed, though it may not be the latest version.
func (c *controlService) Changes(r *wire.ChangesRequest, answer *wire.ChangesResponse) error {
	s := c.s
	var changes *wire.ChangesResponse
	var err error
	if !s.runInLoop(context.Background(), func(time.Time) { changes, err = s.machine.Changes(r.GetVersion()) }) {
		return errStopping
	}
	if err != nil {
		return err
	}
	s.metrics.changes.Add(1)
	answer.Version, answer.Whole, answer.Packed = changes.GetVersion(), changes.GetWhole(), changes.GetPacked()
	return nil
}

// Publish checks a whole set of objects, proposes it and waits for the recorded outcome.
func (c *controlService) Publish(r *wire.PublishRequest, answer *wire.PublishResponse) error {
	s := c.s
	if reason := s.checked.rejectionReason(r); reason != "" {
		answer.Leading = true
		answer.Result = &wire.PublishResult{Id: r.GetId(), Reason: reason}
		return nil
	}
	waiter := make(chan *wire.PublishResult, 1)
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	ok := s.runUrgent(ctx, func(now time.Time) { s.propose(now, r, answer, waiter) })
	if !ok {
		return errStopping
	}
	if !answer.GetLeading() || answer.GetResult() != nil {
		return nil
	}
	select {
	case answer.Result = <-waiter:
		return nil
	case <-s.loopDone:
		return errStopping
	case <-ctx.Done():
		return errors.New("the outcome is not known yet; send the same publish id again")
	}
}

func (s *Server) propose(now time.Time, r *wire.PublishRequest, answer *wire.PublishResponse, waiter chan *wire.PublishResult) {
	if !s.leading(now) {
		answer.LeaderAddress = s.leaderAddress()
		return
	}
	answer.Leading = true
	if earlier := s.machine.Result(r.GetId()); earlier != nil {
		answer.Result = earlier
		return
	}
	data, err := state.Encode(&wire.Command{Publish: r})
	if err != nil {
		answer.Result = &wire.PublishResult{Id: r.GetId(), Reason: err.Error()}
		return
	}
	s.publishWaiters[r.GetId()] = append(s.publishWaiters[r.GetId()], waiter)
	s.node.Propose(data)
}

// Configuration returns the objects in force and the history.
func (c *controlService) Configuration(_ *wire.ConfigurationRequest, answer *wire.ConfigurationResponse) error {
	s := c.s
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	ok := s.runUrgent(ctx, func(now time.Time) {
		if !s.leading(now) {
			answer.LeaderAddress = s.leaderAddress()
			return
		}
		answer.Leading = true
		answer.Version = s.machine.Version()
		answer.Document = s.machine.Document()
		answer.Objects = s.machine.Objects()
		answer.History = s.machine.History()
	})
	if !ok {
		return errStopping
	}
	return nil
}

// Status returns the leader's view of the system.
func (c *controlService) Status(r *wire.StatusRequest, answer *wire.StatusResponse) error {
	s := c.s
	ok := s.runUrgent(context.Background(), func(now time.Time) {
		if !s.leading(now) {
			answer.LeaderAddress = s.leaderAddress()
			return
		}
		proto.Merge(answer, s.leader.Status(now))
		answer.Control = s.node.Membership()
		answer.Commit = s.node.Commit()
		answer.InForce = s.leader.InForce(now, r.GetVersion(), ConfirmTimeout)
	})
	if !ok {
		return errStopping
	}
	return nil
}

// Members returns the entry VMs with a cancel hash.
func (c *controlService) Members(r *wire.MembersRequest, answer *wire.MembersResponse) error {
	s := c.s
	ok := s.runInLoop(context.Background(), func(now time.Time) {
		if answer.Leading = s.leading(now); !answer.Leading {
			answer.LeaderAddress = s.leaderAddress()
			return
		}
		answer.Members = s.leader.MembersByCancelHash(uint16(r.GetCancelHash()))
	})
	if !ok {
		return errStopping
	}
	return nil
}

// Operate handles an operator's request.
func (c *controlService) Operate(r *wire.OperatorRequest, answer *wire.OperatorResponse) error {
	s := c.s
	ok := s.runUrgent(context.Background(), func(now time.Time) {
		if !s.leading(now) {
			answer.LeaderAddress = s.leaderAddress()
			return
		}
		proto.Merge(answer, s.operator(now, r))
	})
	if !ok {
		return errStopping
	}
	return nil
}

// Publish publishes a configuration like the Control.Publish call.
func (s *Server) Publish(r *wire.PublishRequest) (*wire.PublishResponse, error) {
	answer := &wire.PublishResponse{}
	return answer, (&controlService{s}).Publish(r, answer)
}

// Configuration returns the objects in force, the history and the document published last.
func (s *Server) Configuration() (*wire.ConfigurationResponse, error) {
	answer := &wire.ConfigurationResponse{}
	return answer, (&controlService{s}).Configuration(&wire.ConfigurationRequest{}, answer)
}
