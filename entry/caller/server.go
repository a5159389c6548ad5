package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/link"
	"trefoilcourse/wire"
)

const cancelTimeout = 2 * time.Second

// Server serves callers; set the exported fields before Run.
type Server struct {
	VM            string
	FailureDomain string
	View          *view.View
	Links         *link.Pool
	Metrics       *metrics.Metrics
	Log           logrus.FieldLogger
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
	defer c.close()
	if !c.startup(ctx) {
		return
	}
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
		c.secret = binary.BigEndian.AppendUint16(nil, vmHash(s.VM))
		c.secret = append(c.secret, random[4:]...)
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

// vmHash identifies a VM in the cancel key, so that any VM can forward a cancel request to it.
func vmHash(vm string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// cancelKey packs a process id and its secret into one number; 0 for a malformed secret.
func cancelKey(processID uint32, secret []byte) uint64 {
	if len(secret) != 4 {
		return 0
	}
	return uint64(processID)<<32 | uint64(binary.BigEndian.Uint32(secret))
}

// Cancel cancels the running statement of the session that has the key; unknown keys are ignored.
func (s *Server) Cancel(key uint64) {
	s.mu.Lock()
	c := s.sessions[uint32(key>>32)]
	s.mu.Unlock()
	if c != nil && cancelKey(c.processID, c.secret) == key {
		c.cancel()
	}
}

// forwardCancel sends a cancel request to each VM whose hash the key holds.
func (s *Server) forwardCancel(ctx context.Context, key uint64) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	hash := uint16(key >> 16)
	if hash == vmHash(s.VM) {
		s.Cancel(key)
	}
	for _, m := range s.View.Members() {
		if m.GetVm() == s.VM || vmHash(m.GetVm()) != hash {
			continue
		}
		stream, err := s.Links.OpenStream(ctx, m.GetLinkAddress(), &wire.Open{CancelKey: key})
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
