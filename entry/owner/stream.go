package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
)

const (
	defaultDeadline = 10 * time.Second
	// streamAllowance is what each stream may hold without asking: its buffers and statements of usual size.
	streamAllowance = 16 << 10
)

// unitStream is a stream from an entry VM; its units of work run one after another.
type unitStream struct {
	owner  *Owner
	open   *wire.Open
	conn   net.Conn
	reader *frame.Reader
	memory *conns.Memory

	mu         sync.Mutex
	writer     *frame.Writer
	current    *unit
	statements map[string]preparedStatement
	closed     bool
}

func newUnitStream(owner *Owner, open *wire.Open, conn net.Conn) *unitStream {
	s := &unitStream{owner: owner, open: open, conn: conn, writer: frame.NewWriter(conn), statements: map[string]preparedStatement{}}
	if owner.Memory != nil {
		s.memory = &conns.Memory{Account: owner.Memory.Open(streamAllowance, func() { _ = conn.Close() })}
	}
	s.reader = frame.NewLimitedReader(conn, func(n int) bool {
		s.memory.Await()
		return s.memory.Take(n)
	})
	return s
}

// run reads the caller's frames until the stream ends and feeds each to the current unit of work or
// to a new one.
func (s *unitStream) run(ctx context.Context) {
	defer s.memory.Close()
	defer func() { _ = s.conn.Close() }()
	group := s.owner.group(s.open.GetGroup())
	if group == nil {
		s.refuse(notOwner(s.open.GetGroup()))
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	for {
		f, err := s.reader.Next()
		if err != nil {
			s.abandon()
			return
		}
		if f.Type == frame.Cancel {
			s.cancel(ctx)
			continue
		}
		s.memory.Work()
		if !s.feed(group, f) {
			s.abandon()
			return
		}
		// A unit keeps no more than this of what was forwarded.
		s.memory.Keep(maxBufferedBytes)
	}
}

// feed passes a frame to the current unit; false means that the stream must be closed.
func (s *unitStream) feed(group *group, f frame.Frame) bool {
	s.mu.Lock()
	u := s.current
	s.mu.Unlock()
	if u != nil {
		switch u.feed(f) {
		case feedAccepted:
			return true
		case feedUnitFailed:
			<-u.done
			return !u.refused
		case feedUnitEnded:
			<-u.done
		}
		if u.refused {
			return false
		}
	}
	return s.startUnit(group, f)
}

// startUnit starts a unit of work with its first frame. Later units of a stream run as writes,
// because Open describes only the first.
func (s *unitStream) startUnit(group *group, f frame.Frame) bool {
	open := s.open
	s.mu.Lock()
	if s.current != nil {
		open = &wire.Open{
			Group: open.GetGroup(), User: open.GetUser(), Access: wire.Access_ACCESS_WRITE,
			DeadlineMilliseconds: open.GetDeadlineMilliseconds(),
		}
	}
	u := newUnit(s, group, open)
	s.current = u
	s.mu.Unlock()
	s.owner.Metrics.Units.Add(1)
	u.feed(f)
	refusal := group.admit(time.Now(), open.GetUser(), u.deadline, &queuedUnit{run: u.run, refuse: u.refuse})
	if refusal != nil {
		u.refuse(refusal)
	}
	return true
}

// refuse sends a refusal to the entry VM.
func (s *unitStream) refuse(refusal *outcome.Refusal) {
	f := refusal.Frame()
	f.Type = frame.Refusal
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	_ = s.writer.Write(f)
	_ = s.writer.Flush()
}

// abandon ends the current unit because its caller has disconnected.
func (s *unitStream) abandon() {
	s.mu.Lock()
	u := s.current
	s.closed = true
	s.mu.Unlock()
	if u != nil {
		u.abandon()
	}
}

func (s *unitStream) cancel(ctx context.Context) {
	s.mu.Lock()
	u := s.current
	s.mu.Unlock()
	if u != nil {
		u.cancelRunning(ctx)
	}
}

// send writes frames to the entry VM.
func (s *unitStream) send(frames []frame.Frame, flush bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range frames {
		if err := s.writer.Write(f); err != nil {
			return err
		}
	}
	if !flush {
		return nil
	}
	return s.writer.Flush()
}
