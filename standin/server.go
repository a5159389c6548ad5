package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"trefoilcourse/wire/lsn"
)

const announceInterval = time.Second

// Server is one server of a group.
type Server struct {
	group   *Group
	slot    Slot
	history *history

	mu       sync.Mutex
	address  string
	upstream string
	listener net.Listener
	conns    map[net.Conn]bool
	cancel   context.CancelFunc
	ended    sync.WaitGroup
	running  bool

	leaving   atomic.Bool
	cut       atomic.Bool
	frozen    atomic.Bool
	extraLag  atomic.Int64
	followers sync.Map
	sessions  sync.Map
}

// Address returns the host and port that the server listens at.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Slot returns the name of the server's slot.
func (s *Server) Slot() string { return s.slot.Name }

// Running reports whether the server is started.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Role returns the term that the server leads or follows.
func (s *Server) Role() (term uint64, primary bool) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return s.history.term, s.history.primary
}

// HasRow reports whether the server's log has a row.
func (s *Server) HasRow(id string) bool {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, r := range s.history.log {
		for _, w := range r.writes {
			if w.id == id {
				return true
			}
		}
	}
	return false
}

// Rows returns a copy of what the server has replayed.
func (s *Server) Rows() map[string]string {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	rows := make(map[string]string, len(s.history.rows))
	for id, body := range s.history.rows {
		rows[id] = body
	}
	return rows
}

// SetLeaving makes the server announce that it is leaving.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// SetPartitioned cuts the server off from the other servers of its group, but not from callers.
func (s *Server) SetPartitioned(cut bool) { s.cut.Store(cut) }

// SetFrozen keeps the server from answering anything, with its connections open.
func (s *Server) SetFrozen(frozen bool) { s.frozen.Store(frozen) }

// SetExtraReplayLag adds a delay to each record that the server replays.
func (s *Server) SetExtraReplayLag(d time.Duration) { s.extraLag.Store(int64(d)) }

// Start starts the server with the data it has.
func (s *Server) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return nil
	}
	address := s.address
	if address == "" {
		address = s.slot.Address
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.listener = listener
	s.address = listener.Addr().String()
	s.conns = map[net.Conn]bool{}
	s.running = true
	s.ended.Go(func() { s.accept(ctx, listener) })
	s.ended.Go(func() { s.replicate(ctx) })
	s.ended.Go(func() { s.replay(ctx) })
	s.ended.Go(func() { s.announce(ctx) })
	return nil
}

// Kill stops the server at once; its log stays.
func (s *Server) Kill() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.running = false
	s.cancel()
	_ = s.listener.Close()
	s.mu.Unlock()
	s.closeConns()
	s.ended.Wait()
}

// Wipe gives a stopped server an empty data folder.
func (s *Server) Wipe() {
	s.history = newHistory()
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.running {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.conns[conn] = true
		s.mu.Unlock()
		s.ended.Go(func() {
			newSession(s, conn).run(ctx)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

// cancelSession cancels what a session runs.
func (s *Server) cancelSession(id uint64) {
	value, ok := s.sessions.Load(id)
	if !ok {
		return
	}
	select {
	case value.(*session).canceled <- struct{}{}:
	default:
	}
}

// follow makes the server a replica; one with records that the primary lacks drops them and
// all its connections.
func (s *Server) follow(term uint64, address string) bool {
	slot := s.group.slotAt(address)
	h := s.history
	h.mu.Lock()
	if term < h.term || slot == "" || slot == s.slot.Name {
		h.mu.Unlock()
		return false
	}
	wasPrimary := h.primary
	h.primary = false
	h.term = term
	h.mu.Unlock()
	s.mu.Lock()
	s.upstream = slot
	s.mu.Unlock()
	if wasPrimary {
		s.closeConns()
	}
	return true
}

// replicate copies the upstream's log while neither side is cut off.
func (s *Server) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.pull(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *Server) pull(ctx context.Context) chan struct{} {
	s.mu.Lock()
	up := s.group.Server(s.upstream)
	s.mu.Unlock()
	upTerm, upPrimary := up.Role()
	term, primary := s.Role()
	connected := up != s && up.Running() && !up.cut.Load() && !s.cut.Load() && !up.frozen.Load() && !s.frozen.Load()
	if primary || !connected || !upPrimary || upTerm != term {
		up.followers.Delete(s.slot.Name)
		return nil
	}
	log, changed := up.history.snapshotLog()
	s.history.mu.Lock()
	rewound := s.history.rewindTo(log)
	have := len(s.history.log)
	s.history.mu.Unlock()
	if rewound {
		s.closeConns()
	}
	if have < len(log) {
		pause(ctx, s.group.lag(s.group.ReceiveLag))
		s.receive(up, log[have:], have, term)
	}
	s.report(up)
	return changed
}

// receive appends records that were copied from up, unless the server has changed sides.
func (s *Server) receive(up *Server, records []record, from int, term uint64) {
	if s.cut.Load() || up.cut.Load() || !up.Running() {
		return
	}
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.primary || h.term != term || len(h.log) != from {
		return
	}
	h.log = append(h.log, records...)
	h.notify()
}

// follower is a replica's row in pg_stat_replication.
type follower struct {
	incarnation string
	flushed     uint64
	replayed    uint64
}

func (s *Server) report(up *Server) {
	s.history.mu.Lock()
	_, flushed := s.history.end()
	_, replayed := s.history.replayEnd()
	f := follower{s.history.incarnation, flushed, replayed}
	s.history.mu.Unlock()
	up.followers.Store(s.slot.Name, f)
}

// replay applies received records after the replay lag.
func (s *Server) replay(ctx context.Context) {
	for ctx.Err() == nil {
		h := s.history
		h.mu.Lock()
		waiting := h.replayed < len(h.log) && !h.primary
		target := len(h.log)
		changed := h.changed
		h.mu.Unlock()
		if !waiting {
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		pause(ctx, s.group.lag(s.group.ReplayLag)+time.Duration(s.extraLag.Load()))
		h.mu.Lock()
		h.replayTo(min(target, len(h.log)))
		h.mu.Unlock()
		s.reportUpstream()
	}
}

func (s *Server) reportUpstream() {
	s.mu.Lock()
	up := s.group.Server(s.upstream)
	s.mu.Unlock()
	if _, ok := up.followers.Load(s.slot.Name); ok && !s.cut.Load() && !up.cut.Load() {
		s.report(up)
	}
}

func (s *Server) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	wasLeaving := false
	for {
		leaving := s.leaving.Load()
		if s.group.Announce != nil && !s.frozen.Load() {
			s.group.Announce(ctx, s.announcement(leaving))
		}
		wasLeaving = leaving
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.leavingChanged(ctx, wasLeaving):
		}
	}
}

// leavingChanged returns a channel that is closed soon after the leaving flag has changed.
func (s *Server) leavingChanged(ctx context.Context, was bool) chan struct{} {
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := 0; i < 20 && ctx.Err() == nil && s.leaving.Load() == was; i++ {
			pause(ctx, 50*time.Millisecond)
		}
	}()
	return changed
}

func (s *Server) announcement(leaving bool) Announcement {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	logTerm, offset := h.end()
	return Announcement{
		Group: s.group.Name, Slot: s.slot.Name, Incarnation: h.incarnation,
		Address: s.Address(), FailureDomain: s.slot.FailureDomain,
		Primary: h.primary, Term: h.term, LogTerm: logTerm, Position: lsn.Format(offset), Leaving: leaving,
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// WriteCounts counts how often each row was written in the server's history.
func (s *Server) WriteCounts() map[Write]int {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	counts := map[Write]int{}
	for _, r := range s.history.log {
		for _, w := range r.writes {
			counts[Write{w.id, w.body}]++
		}
	}
	return counts
}
