package control

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"trefoilcourse/control/internal/disk"
	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/roster"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
	"trefoilcourse/wire/identity"
	"trefoilcourse/wire/protorpc"
)

const (
	tickInterval = 20 * time.Millisecond
	// saveAgain is the pause before a write that the disk refused is tried again.
	saveAgain = 200 * time.Millisecond
	// lastWrite is how long a stop waits for a write under way; the disk may be stalled.
	lastWrite = time.Second
	// electionTimeout is a part of the time that callers wait, and many round trips.
	electionTimeout   = 300 * time.Millisecond
	heartbeatInterval = 60 * time.Millisecond
	// ConfirmTimeout is how long an entry VM works by a configuration it last confirmed.
	ConfirmTimeout = 6 * time.Second
	// compactAfter is the number of log entries after which a snapshot replaces them.
	compactAfter = 1024
	// compactAfterBytes is the size of log entries after which a snapshot replaces them, a small
	// part of the disk of a control VM.
	compactAfterBytes = 2 << 20
)

// Store keeps what a control VM must not forget; what Save returned without an error for is synced.
type Store interface {
	// Incarnation names this life of the data.
	Incarnation() string
	Load() (raft.PersistentState, error)
	Save(e *raft.Effects) error
	// Bootstrap saves the first membership of a new system.
	Bootstrap(m *wire.Membership) error
	Close() error
}

// Server is one control VM; set the exported fields before Run.
type Server struct {
	// Settings are the VM's own.
	Settings Settings
	// Listener accepts the system's processes; nil means Settings.Listen is opened.
	Listener net.Listener
	// Dialer reaches control VMs; nil means TCP, with TLS if Settings say so.
	Dialer protorpc.Dialer
	// BackendDialer reaches backend servers; nil means Dialer, or plain TCP if that is nil too.
	BackendDialer protorpc.Dialer
	// Backends gives orders to backend servers; nil means PostgreSQL through BackendDialer.
	Backends Backends
	// Store keeps the log; nil means the data folder of Settings.
	Store Store
	// Reload delivers changed settings; only the seeds are taken over while the server runs.
	Reload <-chan Settings
	// Owners is the number of entry VMs that own a group; 0 means leader.DefaultOwners.
	Owners int
	// Log receives changes of state; nil means the standard logger.
	Log logrus.FieldLogger

	once  sync.Once
	calls chan func(now time.Time)
	// ended is closed when the loop has ended and takes no more calls.
	ended   chan struct{}
	traffic protorpc.Traffic
	metrics *metrics

	store       Store
	node        *raft.Node
	machine     *state.Machine
	leader      *leader.Leader
	snapshot    *wire.LogSnapshot
	peers       map[string]*peer
	waiting     map[string][]chan *wire.PublishResult
	commanded   map[string]uint64
	querying    map[string]bool
	leadingTerm uint64
	httpEnded   chan error
	formed      bool
	// saving are the effects that are being written; saved tells how that ended.
	saving    *raft.Effects
	saved     chan error
	diskFails bool
	// heardFrom are the addresses of control VMs that have sent a message, by member key.
	heardFrom map[string]string
	logBytes  int
	checked   checked
	// relays says that this VM keeps nothing; relayedTo is then the leader that others name,
	// learned the membership that they told last, and met where members called from.
	relays    bool
	relayedTo string
	learned   *wire.Membership
	met       map[string]string
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.calls = make(chan func(now time.Time), 256)
		s.saved = make(chan error, 1)
		s.ended = make(chan struct{})
		s.metrics = newMetrics(s.Settings.VM)
		if s.Log == nil {
			s.Log = logrus.StandardLogger()
		}
		s.Log = s.Log.WithField("vm", s.Settings.VM)
		if s.BackendDialer == nil {
			s.BackendDialer = s.Dialer
		}
		if s.BackendDialer == nil {
			s.BackendDialer = &net.Dialer{}
		}
		if s.Backends == nil {
			s.Backends = postgres{s.BackendDialer}
		}
		if s.Dialer == nil {
			s.Dialer = s.plainOrTLS()
		}
	})
}

func (s *Server) plainOrTLS() protorpc.Dialer {
	if s.Settings.TLS == nil {
		return &net.Dialer{}
	}
	return &identity.Dialer{Identity: &identity.Identity{Files: *s.Settings.TLS}}
}

// Run serves until ctx ends; an error means that the data folder cannot be read, or that what it
// holds cannot be.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	if err := s.Settings.Check(); err != nil {
		return trace.Wrap(err)
	}
	s.store = s.Store
	s.relays = s.store == nil && s.Settings.DataFolder == ""
	switch {
	case s.relays:
		s.store = nowhere{}
	case s.store == nil:
		opened, err := disk.Open(s.Settings.DataFolder)
		if err != nil {
			return trace.Wrap(err)
		}
		s.store = opened
	}
	defer func() { _ = s.store.Close() }()
	if err := s.restart(clock.Now()); err != nil {
		return trace.Wrap(err)
	}
	s.Log.WithFields(logrus.Fields{
		"formed": s.formed, "relays": s.relays, "life": s.store.Incarnation(), "term": s.node.Term(), "bootstrap": s.Settings.Bootstrap,
		"seeds": s.Settings.Seeds, "members": len(s.node.Membership().GetMembers()),
	}).Info("starts")
	err := s.serve(ctx)
	s.Log.WithError(err).Info("stops")
	return err
}

func (s *Server) restart(now time.Time) error {
	stored, err := s.store.Load()
	if err != nil {
		return err
	}
	s.formed = roster.HasExistingState(stored)
	s.machine = state.New()
	s.leader = &leader.Leader{
		State: s.machine, Owners: s.Owners, VM: s.Settings.VM, LeaseDuration: time.Duration(s.Settings.LeaseMilliseconds) * time.Millisecond,
	}
	s.peers = map[string]*peer{}
	s.heardFrom = map[string]string{}
	s.met = map[string]string{}
	s.waiting = map[string][]chan *wire.PublishResult{}
	s.commanded = map[string]uint64{}
	s.querying = map[string]bool{}
	s.node = &raft.Node{Self: s.key(), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Seed: uint64(now.UnixNano())}
	s.snapshot = stored.Snapshot
	s.node.Restart(now, stored)
	return nil
}

func (s *Server) key() string { return raft.Key(s.Settings.VM, s.store.Incarnation()) }

func (s *Server) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener := s.Listener
	if listener == nil {
		opened, err := net.Listen("tcp", s.Settings.Listen)
		if err != nil {
			return trace.Wrap(err)
		}
		listener = opened
	}
	if s.Settings.TLS != nil {
		listener = tls.NewListener(listener, (&identity.Identity{Files: *s.Settings.TLS}).MutualTLSConfig())
	}
	if err := s.serveHTTP(ctx); err != nil {
		return trace.Wrap(err)
	}
	accepting := make(chan error, 1)
	go func() { accepting <- s.accept(ctx, listener) }()
	joining := make(chan error, 1)
	go func() { joining <- s.join(ctx) }()
	err := s.loop(ctx)
	if s.saving != nil {
		select {
		case <-s.saved:
		case <-time.After(lastWrite):
		}
	}
	close(s.ended)
	cancel()
	_ = listener.Close()
	<-accepting
	<-joining
	if s.httpEnded != nil {
		<-s.httpEnded
	}
	for _, p := range s.peers {
		<-p.ended
	}
	return err
}

// loop owns all state of the server; everything else sends it functions.
func (s *Server) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if err := s.carryOut(ctx); err != nil {
			return trace.Wrap(err)
		}
		select {
		case err := <-s.saved:
			if err := s.written(ctx, err); err != nil {
				return trace.Wrap(err)
			}
		case <-ctx.Done():
			return nil
		case next := <-s.Reload:
			s.Settings.Seeds = next.Seeds
			s.Log.WithField("seeds", next.Seeds).Info("reloads its settings")
		case call := <-s.calls:
			call(clock.Now())
		case <-ticker.C:
			s.tick(ctx, clock.Now())
		}
	}
}

// do runs f in the loop and waits for it; false means that the server has ended or ctx has.
func (s *Server) do(ctx context.Context, f func(now time.Time)) bool {
	s.prepare()
	done := make(chan struct{})
	call := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case s.calls <- call:
	case <-s.ended:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-s.ended:
		return false
	}
}

func (s *Server) tick(ctx context.Context, now time.Time) {
	s.node.Tick(now)
	if !s.leading(now) {
		return
	}
	for _, action := range s.leader.Tick(now) {
		s.act(ctx, action)
	}
	s.tendMembership()
}

// leading reports whether this VM may answer as the leader, and starts its leadership.
func (s *Server) leading(now time.Time) bool {
	if !s.node.HasLeaderLease(now) || !s.node.AppliedCurrentTerm() {
		return false
	}
	if s.leadingTerm != s.node.Term() {
		s.leadingTerm = s.node.Term()
		s.leader.StartTerm(now, s.leadingTerm)
		s.commanded = map[string]uint64{}
		s.metrics.leaderships.Add(1)
		s.Log.WithField("term", s.leadingTerm).Info("leads the control VMs")
	}
	return true
}

// carryOut persists, sends and applies what the node asks for. The disk is waited for outside of
// the loop, so that one that stalls or is full keeps this VM from promising anything, and from
// nothing else.
func (s *Server) carryOut(ctx context.Context) error {
	for s.saving == nil {
		effects := s.node.TakeEffects()
		if effects.Empty() {
			return nil
		}
		if effects.MustSync() {
			s.saving = &effects
			s.save(0)
			return nil
		}
		if err := s.finish(ctx, &effects); err != nil {
			return err
		}
	}
	return nil
}

// save writes the effects under way after a pause, and reports the outcome on s.saved.
func (s *Server) save(pause time.Duration) {
	effects, store, saved := s.saving, s.store, s.saved
	go func() {
		time.Sleep(pause)
		saved <- store.Save(effects)
	}()
}

// written goes on after a write: one that failed is tried again, since nothing was promised yet.
func (s *Server) written(ctx context.Context, err error) error {
	if err != nil {
		if !s.diskFails {
			s.Log.WithError(err).Error("data folder refuses a write; this VM promises nothing until it takes it")
		}
		s.diskFails = true
		s.save(saveAgain)
		return nil
	}
	if s.diskFails {
		s.Log.Info("data folder takes writes again")
	}
	s.diskFails = false
	s.metrics.syncs.Add(1)
	effects := s.saving
	s.saving = nil
	return s.finish(ctx, effects)
}

// finish does what may be done once the effects are on disk.
func (s *Server) finish(ctx context.Context, effects *raft.Effects) error {
	s.node.MarkSynced(effects)
	if effects.Snapshot != nil {
		s.snapshot = effects.Snapshot
	}
	s.formed = s.formed || roster.HasExistingState(raft.PersistentState{Snapshot: effects.Snapshot, Entries: effects.Entries})
	for _, m := range effects.Messages {
		s.send(ctx, m)
	}
	return s.apply(effects)
}

func (s *Server) apply(e *raft.Effects) error {
	if e.InstallSnapshot != nil && len(e.InstallSnapshot.GetState()) > 0 {
		if err := s.machine.Restore(e.InstallSnapshot.GetState()); err != nil {
			return err
		}
	}
	for _, entry := range e.CommittedEntries {
		s.logBytes += len(entry.GetData())
		if entry.GetKind() != wire.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		result, err := s.machine.Apply(entry.GetData())
		if err != nil {
			return err
		}
		s.answerPublish(result)
	}
	if len(e.CommittedEntries) > 0 && (s.node.LogLength() > compactAfter || s.logBytes > compactAfterBytes) {
		s.node.Compact(s.machine.Snapshot())
		s.logBytes = 0
	}
	return nil
}

func (s *Server) answerPublish(result *wire.PublishResult) {
	if result == nil {
		return
	}
	for _, waiter := range s.waiting[result.GetId()] {
		waiter <- result
	}
	delete(s.waiting, result.GetId())
}

// leaderAddress returns where the leader listens as far as this VM knows, or "".
func (s *Server) leaderAddress() string {
	if s.relays {
		return s.relayedTo
	}
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == s.node.LeaderKey() {
			return m.GetAddress()
		}
	}
	return ""
}
