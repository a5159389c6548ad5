package sessions

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// Serve runs the statements that other entry VMs send to this owner, until ctx ends.
func Serve(ctx context.Context, listener net.Listener, e Executor) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Statements", &service{ctx, e}); err != nil {
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
			server.ServeCodec(protorpc.NewServerCodec(conn, &protorpc.Traffic{}))
		})
	}
}

type service struct {
	ctx      context.Context
	executor Executor
}

// Run executes one statement.
func (s *service) Run(r *wire.StatementRequest, a *wire.StatementAnswer) error {
	copyAnswer(a, s.executor.Execute(s.ctx, r))
	return nil
}

// End rolls back a transaction.
func (s *service) End(r *wire.UnitRequest, _ *wire.Empty) error {
	s.executor.End(r.GetUnit())
	return nil
}

// Ping answers health checks of other entry VMs.
func (s *service) Ping(_, _ *wire.Empty) error { return nil }
