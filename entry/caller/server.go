package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/cancel"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/link"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
)

const cancelTimeout = 2 * time.Second

// Server serves callers; set the exported fields before Run.
type Server struct {
	VM            string
	FailureDomain string
	View          *view.View
	Links         *link.Pool
	// Members returns the entry VMs with a cancel hash.
	Members func(ctx context.Context, hash uint16) ([]*wire.Member, error)
	Metrics *metrics.Metrics
	Log     logrus.FieldLogger
	// Memory is the budget for what callers send; nil means no limit.
	Memory *budget.Budget
	// MessageTimeout limits the wait for the rest of a frame; 0 means no limit.
	MessageTimeout time.Duration
	// TLS is offered to callers that ask for it; nil refuses TLS.
	TLS *tls.Config

	mu       sync.Mutex
	sessions map[uint32]*connection
	draining bool
	open     sync.WaitGroup
}

// Run accepts callers until the listener is closed, then waits for all of them to disconnect.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	defer s.open.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		s.open.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	s.Metrics.Callers.Add(1)
	defer s.Metrics.Callers.Add(-1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c := newConnection(s, conn)
	defer c.memory.Close()
	defer c.close()
	if !c.startup(ctx) {
		return
	}
	conns.Keep(conn)
	defer s.unregister(c)
	c.run(ctx)
}

// register gives a session its cancel key; false means that the server is draining.
func (s *Server) register(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[uint32]*connection{}
	}
	if s.draining {
		return false
	}
	for {
		var random [6]byte
		_, _ = rand.Read(random[:])
		c.processID = binary.BigEndian.Uint32(random[:])
		c.secret = cancel.NewSecret(s.VM, binary.BigEndian.Uint16(random[4:]))
		if s.sessions[c.processID] == nil {
			s.sessions[c.processID] = c
			return true
		}
	}
}

func (s *Server) unregister(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.processID)
}

// Cancel cancels the running statement of the session that has the key; unknown keys are ignored.
func (s *Server) Cancel(key cancel.Key) {
	s.mu.Lock()
	c := s.sessions[key.ProcessID()]
	s.mu.Unlock()
	if c != nil && cancel.KeyOf(c.processID, c.secret) == key {
		c.cancel()
	}
}

// forwardCancel sends a cancel request to each VM whose hash the key holds.
func (s *Server) forwardCancel(ctx context.Context, key cancel.Key) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if key.Hash() == cancel.Hash(s.VM) {
		s.Cancel(key)
	}
	members, err := s.Members(ctx, key.Hash())
	if err != nil {
		s.Log.WithError(err).WithField("vm-hash", key.Hash()).Warn("cancel request not forwarded")
		return
	}
	for _, m := range members {
		if m.GetVm() == s.VM {
			continue
		}
		stream, err := s.Links.OpenStream(ctx, m.GetLinkAddress(), &wire.Open{CancelKey: uint64(key)})
		if err == nil {
			_ = stream.Close()
		}
	}
}

// Drain closes each caller's connection as soon as it is idle.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	sessions := make([]*connection, 0, len(s.sessions))
	for _, c := range s.sessions {
		sessions = append(sessions, c)
	}
	s.mu.Unlock()
	for _, c := range sessions {
		c.drain()
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// CallerCount returns the number of callers that have logged in.
func (s *Server) CallerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
