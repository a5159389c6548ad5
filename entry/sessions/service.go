package sessions

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"trefoilcourse/coord/budget"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/protorpc"
)

const (
	// maxCallBytes is more than the largest statement, with the state of its session.
	maxCallBytes = 4 << 20
	// linkAllowance is what each link may hold without asking: some dozens of statements of usual size.
	linkAllowance = 64 << 10
)

// Serve runs the statements that other entry VMs send to this owner, until ctx ends, within a constant budget.
func Serve(ctx context.Context, listener net.Listener, e Executor) error {
	return ServeWithin(ctx, listener, e, nil, budget.New(budget.LimitsOfEntry(0, 0).Bytes))
}

// ServeWithin is Serve with a budget for what the calls hold. It also explains decisions unless x is nil.
func ServeWithin(ctx context.Context, listener net.Listener, e Executor, x *Explain, b *budget.Budget) error {
	if err := registerServices(rpc.NewServer(), &service{}, x); err != nil {
		return err
	}
	stopClosing := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stopClosing()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		connections.Go(func() {
			defer stop()
			memory := &conns.Memory{Account: b.Open(linkAllowance, func() { _ = conn.Close() })}
			defer memory.Close()
			connCtx, lost := context.WithCancel(ctx)
			defer lost()
			server, statements := rpc.NewServer(), &service{ctx: connCtx, executor: e, budget: b}
			// They have been registered before, so that this cannot fail.
			_ = registerServices(server, statements, x)
			server.ServeCodec(protorpc.NewLimitedServerCodec(&watchedConn{conn, lost}, nil, protorpc.Limits{
				Memory: memory, MaxRequestBytes: maxCallBytes, Answered: statements.answered,
			}))
		})
	}
}

func registerServices(server *rpc.Server, statements *service, x *Explain) error {
	if x != nil {
		if err := server.RegisterName("Explain", x); err != nil {
			return err
		}
	}
	return server.RegisterName("Statements", statements)
}

// watchedConn calls lost when nothing more can be read, so that the statements of a VM that has gone leave their
// queues at once.
type watchedConn struct {
	net.Conn
	lost func()
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.lost()
	}
	return n, err
}

type service struct {
	ctx      context.Context
	executor Executor
	budget   *budget.Budget

	mu sync.Mutex
	// unsent are the answers that have not been sent and hold memory.
	unsent map[*wire.StatementAnswer]*budget.Holding
}

// answered gives back the memory of an answer once it was sent or given up.
func (s *service) answered(answer any) {
	a, ok := answer.(*wire.StatementAnswer)
	if !ok {
		return
	}
	s.mu.Lock()
	held := s.unsent[a]
	delete(s.unsent, a)
	s.mu.Unlock()
	held.Close()
}

// Run executes one statement.
func (s *service) Run(r *wire.StatementRequest, a *wire.StatementAnswer) error {
	held := s.budget.Hold()
	copyAnswer(a, s.executor.Execute(budget.WithHolding(s.ctx, held), r))
	if held.Held() == 0 {
		held.Close()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsent == nil {
		s.unsent = map[*wire.StatementAnswer]*budget.Holding{}
	}
	s.unsent[a] = held
	return nil
}

// End rolls back a transaction.
func (s *service) End(r *wire.UnitRequest, _ *wire.Empty) error {
	s.executor.End(r.GetUnit())
	return nil
}

// Ping answers health checks of other entry VMs.
func (s *service) Ping(_, _ *wire.Empty) error { return nil }
