package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire"
)

const defaultDeadline = 10 * time.Second

// serving is one stream from an entry VM; its units of work run one after the other.
type serving struct {
	owner  *Owner
	open   *wire.Open
	stream net.Conn
	reader *frame.Reader

	mu      sync.Mutex
	writer  *frame.Writer
	current *unit
	names   map[string]preparedName
	closed  bool
}

func newServing(o *Owner, open *wire.Open, stream net.Conn) *serving {
	return &serving{
		owner: o, open: open, stream: stream,
		reader: frame.NewReader(stream), writer: frame.NewWriter(stream),
		names: map[string]preparedName{},
	}
}

// run reads the caller's frames until the stream ends, and hands them to the unit of work that
// is under way, or to a new one.
func (s *serving) run(ctx context.Context) {
	defer func() { _ = s.stream.Close() }()
	g := s.owner.group(s.open.GetGroup())
	if g == nil {
		s.refuse(notOwner(s.open.GetGroup()))
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.stream.Close() })
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
		if !s.feed(g, f) {
			s.abandon()
			return
		}
	}
}

// feed hands a frame to the unit under way; false means that the stream is at its end.
func (s *serving) feed(g *group, f frame.Frame) bool {
	s.mu.Lock()
	u := s.current
	s.mu.Unlock()
	if u != nil {
		switch u.feed(f) {
		case fedOK:
			return true
		case fedFailed:
			<-u.done
			return !u.refused
		case fedOver:
			<-u.done
		}
		if u.refused {
			return false
		}
	}
	return s.begin(g, f)
}

// begin starts a unit of work with its first frame. Later units of a stream run as writes,
// since what is known of the stream is known of its first unit only.
func (s *serving) begin(g *group, f frame.Frame) bool {
	open := s.open
	s.mu.Lock()
	if s.current != nil {
		open = &wire.Open{
			Group: open.GetGroup(), User: open.GetUser(), Access: wire.Access_ACCESS_WRITE,
			DeadlineMilliseconds: open.GetDeadlineMilliseconds(),
		}
	}
	u := newUnit(s, g, open)
	s.current = u
	s.mu.Unlock()
	s.owner.Metrics.Units.Add(1)
	u.feed(f)
	refusal := g.admit(time.Now(), open.GetUser(), u.deadline, &ticket{run: u.run, refuse: u.refuse})
	if refusal != nil {
		u.refuse(refusal)
	}
	return true
}

// refuse tells the entry VM why nothing runs.
func (s *serving) refuse(r *outcome.Refusal) {
	f := r.Frame()
	f.Type = frame.Refusal
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	_ = s.writer.Write(f)
	_ = s.writer.Flush()
}

// abandon ends the unit under way: nobody is left to answer.
func (s *serving) abandon() {
	s.mu.Lock()
	u := s.current
	s.closed = true
	s.mu.Unlock()
	if u != nil {
		u.abandon()
	}
}

func (s *serving) cancel(ctx context.Context) {
	s.mu.Lock()
	u := s.current
	s.mu.Unlock()
	if u != nil {
		u.cancelRunning(ctx)
	}
}

// send writes frames to the entry VM.
func (s *serving) send(frames []frame.Frame, flush bool) error {
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
