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

// Server is a simulated backend server of a group.
type Server struct {
	group   *Group
	slot    Slot
	storage *storage

	mu           sync.Mutex
	address      string
	upstreamSlot string
	listener     net.Listener
	connections  map[net.Conn]bool
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	running      bool

	leaving         atomic.Bool
	partitioned     atomic.Bool
	frozen          atomic.Bool
	extraReplayLag  atomic.Int64
	replicaStatuses sync.Map
	sessions        sync.Map
}

// Address returns the host and port that the server listens on.
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

// Role returns the server's term and whether it is the primary of that term.
func (s *Server) Role() (term uint64, primary bool) {
	s.storage.mu.Lock()
	defer s.storage.mu.Unlock()
	return s.storage.term, s.storage.primary
}

// HasRow reports whether the server's log contains a write of the row.
func (s *Server) HasRow(id string) bool {
	s.storage.mu.Lock()
	defer s.storage.mu.Unlock()
	for _, r := range s.storage.log {
		for _, w := range r.writes {
			if w.id == id {
				return true
			}
		}
	}
	return false
}

// Rows returns a copy of the rows that the server has replayed.
func (s *Server) Rows() map[string]string {
	s.storage.mu.Lock()
	defer s.storage.mu.Unlock()
	rows := make(map[string]string, len(s.storage.rows))
	for id, body := range s.storage.rows {
		rows[id] = body
	}
	return rows
}

// SetLeaving sets whether the server announces that it is leaving.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// SetPartitioned sets whether the server is partitioned from its group; callers still reach it.
func (s *Server) SetPartitioned(partitioned bool) { s.partitioned.Store(partitioned) }

// SetFrozen sets whether the server stops answering, replicating and announcing itself while its
// connections stay open.
func (s *Server) SetFrozen(frozen bool) { s.frozen.Store(frozen) }

// SetExtraReplayLag sets a delay that is added to the replay lag.
func (s *Server) SetExtraReplayLag(lag time.Duration) { s.extraReplayLag.Store(int64(lag)) }

// Start starts the server with its current data.
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
	s.connections = map[net.Conn]bool{}
	s.running = true
	s.goroutines.Go(func() { s.acceptConnections(ctx, listener) })
	s.goroutines.Go(func() { s.replicate(ctx) })
	s.goroutines.Go(func() { s.replay(ctx) })
	s.goroutines.Go(func() { s.announcePeriodically(ctx) })
	return nil
}

// Kill stops the server immediately; its data is kept.
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
	s.closeConnections()
	s.goroutines.Wait()
}

// Wipe replaces the data of a stopped server with empty storage and a new incarnation.
func (s *Server) Wipe() {
	s.storage = newStorage()
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		_ = conn.Close()
	}
}

func (s *Server) acceptConnections(ctx context.Context, listener net.Listener) {
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
		s.connections[conn] = true
		s.mu.Unlock()
		s.goroutines.Go(func() {
			newSession(s, conn).run(ctx)
			s.mu.Lock()
			delete(s.connections, conn)
			s.mu.Unlock()
		})
	}
}

// cancelSession cancels the running statement of a session.
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

// follow makes the server a replica of the server at address and reports whether it accepted; a
// former primary closes its connections. Records that the new primary lacks are dropped by pullLog.
func (s *Server) follow(term uint64, address string) bool {
	slot := s.group.slotAt(address)
	st := s.storage
	st.mu.Lock()
	if term < st.term || slot == "" || slot == s.slot.Name {
		st.mu.Unlock()
		return false
	}
	wasPrimary := st.primary
	st.primary = false
	st.term = term
	st.mu.Unlock()
	s.mu.Lock()
	s.upstreamSlot = slot
	s.mu.Unlock()
	if wasPrimary {
		s.closeConnections()
	}
	return true
}

// replicate keeps copying the upstream's log while neither server is partitioned or frozen.
func (s *Server) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.pullLog(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// pullLog copies new records from the upstream and returns a channel that is closed when its log
// changes, or nil if it cannot replicate. Diverging records are dropped, and all connections closed,
// first.
func (s *Server) pullLog(ctx context.Context) chan struct{} {
	s.mu.Lock()
	upstream := s.group.Server(s.upstreamSlot)
	s.mu.Unlock()
	upstreamTerm, upstreamIsPrimary := upstream.Role()
	term, primary := s.Role()
	connected := upstream != s && upstream.Running() && !upstream.partitioned.Load() && !s.partitioned.Load() && !upstream.frozen.Load() && !s.frozen.Load()
	if primary || !connected || !upstreamIsPrimary || upstreamTerm != term {
		upstream.replicaStatuses.Delete(s.slot.Name)
		return nil
	}
	log, changed := upstream.storage.snapshotLog()
	s.storage.mu.Lock()
	truncated := s.storage.truncateDivergence(log)
	received := len(s.storage.log)
	s.storage.mu.Unlock()
	if truncated {
		s.closeConnections()
	}
	if received < len(log) {
		sleep(ctx, s.group.lag(s.group.ReceiveLag))
		s.appendReceived(upstream, log[received:], received, term)
	}
	s.reportStatus(upstream)
	return changed
}

// appendReceived appends records copied from upstream, unless the server's role, term or log has
// changed since.
func (s *Server) appendReceived(upstream *Server, records []record, startIndex int, term uint64) {
	if s.partitioned.Load() || upstream.partitioned.Load() || !upstream.Running() {
		return
	}
	st := s.storage
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.primary || st.term != term || len(st.log) != startIndex {
		return
	}
	st.log = append(st.log, records...)
	st.notify()
}

// replicaStatus is the row of a replica in pg_stat_replication.
type replicaStatus struct {
	incarnation  string
	flushOffset  uint64
	replayOffset uint64
}

func (s *Server) reportStatus(upstream *Server) {
	s.storage.mu.Lock()
	_, flushed := s.storage.logEnd()
	_, replayed := s.storage.replayEnd()
	status := replicaStatus{s.storage.incarnation, flushed, replayed}
	s.storage.mu.Unlock()
	upstream.replicaStatuses.Store(s.slot.Name, status)
}

// replay applies received records after the replay lag.
func (s *Server) replay(ctx context.Context) {
	for ctx.Err() == nil {
		st := s.storage
		st.mu.Lock()
		waiting := st.replayedRecords < len(st.log) && !st.primary
		target := len(st.log)
		changed := st.logChanged
		st.mu.Unlock()
		if !waiting {
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		sleep(ctx, s.group.lag(s.group.ReplayLag)+time.Duration(s.extraReplayLag.Load()))
		st.mu.Lock()
		st.replayTo(min(target, len(st.log)))
		st.mu.Unlock()
		s.reportToUpstream()
	}
}

func (s *Server) reportToUpstream() {
	s.mu.Lock()
	upstream := s.group.Server(s.upstreamSlot)
	s.mu.Unlock()
	if _, ok := upstream.replicaStatuses.Load(s.slot.Name); ok && !s.partitioned.Load() && !upstream.partitioned.Load() {
		s.reportStatus(upstream)
	}
}

func (s *Server) announcePeriodically(ctx context.Context) {
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

// leavingChanged returns a channel that is closed within 50 ms of a change of the leaving flag, or
// after a second.
func (s *Server) leavingChanged(ctx context.Context, previous bool) chan struct{} {
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := 0; i < 20 && ctx.Err() == nil && s.leaving.Load() == previous; i++ {
			sleep(ctx, 50*time.Millisecond)
		}
	}()
	return changed
}

func (s *Server) announcement(leaving bool) Announcement {
	st := s.storage
	st.mu.Lock()
	defer st.mu.Unlock()
	logTerm, offset := st.logEnd()
	return Announcement{
		Group: s.group.Name, Slot: s.slot.Name, Incarnation: st.incarnation,
		Address: s.Address(), FailureDomain: s.slot.FailureDomain,
		Primary: st.primary, Term: st.term, LogTerm: logTerm, Position: lsn.Format(offset), Leaving: leaving,
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// WriteCounts returns how often the server's log contains each write.
func (s *Server) WriteCounts() map[Write]int {
	s.storage.mu.Lock()
	defer s.storage.mu.Unlock()
	counts := map[Write]int{}
	for _, r := range s.storage.log {
		for _, w := range r.writes {
			counts[Write{w.id, w.body}]++
		}
	}
	return counts
}
