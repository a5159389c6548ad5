package sessions

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// Serve runs what other entry VMs send to this one as an owner, until ctx ends.
func Serve(ctx context.Context, listener net.Listener, e Executor) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Statements", &service{ctx, e}); err != nil {
		return err
	}
	stopped := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stopped()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		open.Go(func() {
			defer stop()
			server.ServeCodec(protorpc.NewServerCodec(conn, &protorpc.Traffic{}))
		})
	}
}

type service struct {
	ctx      context.Context
	executor Executor
}

// Run runs one statement.
func (s *service) Run(r *wire.StatementRequest, a *wire.StatementAnswer) error {
	take(a, s.executor.Execute(s.ctx, r))
	return nil
}

// End rolls a transaction back.
func (s *service) End(r *wire.UnitRequest, _ *wire.Empty) error {
	s.executor.End(r.GetUnit())
	return nil
}

// Ping shows that this VM answers.
func (s *service) Ping(_, _ *wire.Empty) error { return nil }
