package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"trefoilcourse/control/internal/disk"
	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/directory"
	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/raft"
	"trefoilcourse/coord/regions"
	"trefoilcourse/coord/roster"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/identity"
	"trefoilcourse/wire/protorpc"
)

const (
	tickInterval = 20 * time.Millisecond
	// saveRetryDelay is the delay before a failed write to the data folder is retried.
	saveRetryDelay = 200 * time.Millisecond
	// shutdownSaveTimeout is how long a stop waits for a pending write; the disk may be stalled.
	shutdownSaveTimeout = time.Second
	// electionTimeout is many round trips, and a fraction of the time that callers wait.
	electionTimeout   = 300 * time.Millisecond
	heartbeatInterval = 60 * time.Millisecond
	// ConfirmTimeout is how long an entry VM uses a configuration after it last confirmed it.
	ConfirmTimeout = 6 * time.Second
	// compactAfter is the number of log entries after which a snapshot replaces them.
	compactAfter = 1024
	// compactAfterBytes is the size of log entries after which a snapshot replaces them, a small
	// part of the disk of a control VM.
	compactAfterBytes = 2 << 20
)

// Store is the persistent state of a control VM; effects are synced when Save returns nil.
type Store interface {
	// Incarnation identifies the data; a wiped data folder gets a new one.
	Incarnation() string
	Load() (raft.PersistentState, error)
	Save(e *raft.Effects) error
	// Bootstrap saves the initial membership of a new cluster.
	Bootstrap(m *wire.Membership) error
	Close() error
}

// Server is a control VM; its exported fields must be set before Run.
type Server struct {
	// Settings are the settings of this VM.
	Settings Settings
	// Listener accepts connections of the system's processes; nil means one on Settings.Listen.
	Listener net.Listener
	// Dialer connects to control VMs; nil means TCP, with TLS if Settings.TLS is set.
	Dialer protorpc.Dialer
	// BackendDialer connects to backend servers; nil means Dialer, or plain TCP if that is nil too.
	BackendDialer protorpc.Dialer
	// Backends queries backend servers and sends them orders; nil means PostgreSQL through BackendDialer.
	Backends Backends
	// Store persists the log; nil means the data folder of Settings.
	Store Store
	// Memory is the budget for the messages of clients; nil means one by Settings.
	Memory *budget.Budget
	// Pressure counts what the limits of this process refuse; nil means one for this server alone.
	Pressure *conns.Pressure
	// Reload delivers changed settings; only the seeds are applied while the server runs.
	Reload <-chan Settings
	// Owners is the number of entry VMs that own a group; 0 means leader.DefaultOwners.
	Owners int
	// Log receives log entries; nil means the standard logger.
	Log logrus.FieldLogger

	// open opens the data folder; tests replace it.
	open  func(folder string) (Store, error)
	once  sync.Once
	calls chan func(now time.Time)
	// agreementCalls run before calls, so that renewals never delay heartbeats and votes. urgentCalls, those
	// of operators and the answers of servers, run after them and before calls.
	agreementCalls chan func(now time.Time)
	urgentCalls    chan func(now time.Time)
	latestRenewals latestRenewals
	// forwardings are the announcements to pass on to the leader.
	forwardings chan *forwarding
	// loopDone is closed when the loop has ended and accepts no more calls.
	loopDone  chan struct{}
	closeLoop func()
	traffic   protorpc.Traffic
	metrics   *metrics

	store          Store
	node           *raft.Node
	machine        *state.Machine
	leader         *leader.Leader
	snapshot       *wire.LogSnapshot
	peers          map[string]*peer
	publishWaiters map[string][]chan *wire.PublishResult
	proposedIndex  map[string]uint64
	// inFlight holds the orders that have not ended; questions are the status queries of all groups.
	inFlight    map[string]bool
	questions   promote.Questions
	leadingTerm uint64
	terms       termHistory
	httpDone    chan error
	hasState    bool
	// pendingSave are the effects being written; saveResult receives the outcome.
	pendingSave *raft.Effects
	saveResult  chan error
	saveFailing bool
	// peerAddresses are the addresses of control VMs that have sent a message, by member key.
	peerAddresses map[string]string
	logBytes      int
	checked       publishChecker
	// diskless is set if this VM has no data folder. redirectTarget is then the leader's address,
	// learnedMembership the latest membership, as other VMs report them, and memberAddresses the
	// addresses of members that have called, by VM.
	diskless          bool
	redirectTarget    string
	learnedMembership *wire.Membership
	memberAddresses   map[string]string
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.calls = make(chan func(now time.Time), 256)
		s.agreementCalls = make(chan func(now time.Time), 256)
		s.urgentCalls = make(chan func(now time.Time), 256)
		s.forwardings = make(chan *forwarding, forwardQueue)
		s.saveResult = make(chan error, 1)
		s.loopDone = make(chan struct{})
		s.closeLoop = sync.OnceFunc(func() { close(s.loopDone) })
		if s.open == nil {
			s.open = openFolder
		}
		if s.Log == nil {
			s.Log = logrus.StandardLogger()
		}
		if s.Memory == nil {
			s.Memory = budget.New(s.Settings.Limits().Bytes)
			s.Memory.Collector = &conns.Collector{}
		}
		if s.Pressure == nil {
			s.Pressure = &conns.Pressure{}
		}
		s.Pressure.Memory = func() conns.MemoryCounts { return conns.MemoryCounts(s.Memory.Counts()) }
		s.metrics = newMetrics(s.Settings.VM, s.Pressure)
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

// Run serves until ctx ends; it returns an error for settings that cannot work, and for a data folder
// or stored state that cannot be read. It waits while a new data folder cannot be written.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	defer s.closeLoop()
	if err := s.Settings.Check(); err != nil {
		return trace.Wrap(err)
	}
	s.store = s.Store
	s.diskless = s.store == nil && s.Settings.DataFolder == ""
	switch {
	case s.diskless:
		s.store = disklessStore{}
	case s.store == nil:
		opened, err := s.awaitFolder(ctx)
		if err != nil || opened == nil {
			return trace.Wrap(err)
		}
		s.store = opened
	}
	defer func() { _ = s.store.Close() }()
	if err := s.restart(clock.Now()); err != nil {
		return trace.Wrap(err)
	}
	s.Log.WithFields(logrus.Fields{
		"formed": s.hasState, "relays": s.diskless, "life": s.store.Incarnation(), "term": s.node.Term(), "bootstrap": s.Settings.Bootstrap,
		"seeds": s.Settings.Seeds, "members": len(s.node.Membership().GetMembers()),
	}).Info("control VM started")
	err := s.serve(ctx)
	s.Log.WithError(err).Info("control VM stopped")
	return err
}

func openFolder(folder string) (Store, error) { return disk.Open(folder) }

// awaitFolder opens the data folder, again and again while the disk refuses to be written; it returns nil
// if ctx ends first.
func (s *Server) awaitFolder(ctx context.Context) (Store, error) {
	for attempts := 1; ; attempts++ {
		store, err := s.open(s.Settings.DataFolder)
		if !errors.Is(err, disk.ErrNotWritable) {
			if err == nil && attempts > 1 {
				s.Log.WithField("attempts", attempts).Info("data folder opened after failures")
			}
			return store, err
		}
		if attempts == 1 {
			s.Log.WithError(err).Error("cannot write to the data folder; this VM starts once it can")
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(saveRetryDelay):
		}
	}
}

func (s *Server) restart(now time.Time) error {
	stored, err := s.store.Load()
	if err != nil {
		return err
	}
	s.hasState = roster.HasExistingState(stored)
	s.machine = state.New()
	s.leader = &leader.Leader{
		State: s.machine, Owners: s.Owners, OwnersNearServers: regions.Several(s.Settings.Regions), VM: s.Settings.VM, LeaseDuration: time.Duration(s.Settings.LeaseMilliseconds) * time.Millisecond,
	}
	s.peers = map[string]*peer{}
	s.peerAddresses = map[string]string{}
	s.memberAddresses = map[string]string{}
	s.publishWaiters = map[string][]chan *wire.PublishResult{}
	s.proposedIndex = map[string]uint64{}
	s.inFlight = map[string]bool{}
	s.questions = promote.Questions{}
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
	go s.logPressure(ctx)
	accepting := make(chan error, 1)
	go func() { accepting <- s.accept(ctx, listener) }()
	joining := make(chan error, 1)
	go func() { joining <- s.join(ctx) }()
	forwarding := make(chan struct{})
	go func() {
		defer close(forwarding)
		s.forwardAnnouncements(ctx)
	}()
	err := s.loop(ctx)
	if s.pendingSave != nil {
		select {
		case <-s.saveResult:
		case <-time.After(shutdownSaveTimeout):
		}
	}
	s.closeLoop()
	cancel()
	_ = listener.Close()
	<-accepting
	<-joining
	<-forwarding
	if s.httpDone != nil {
		<-s.httpDone
	}
	for _, p := range s.peers {
		<-p.ended
	}
	return err
}

// loop owns all state of the server; other goroutines send it functions to run.
func (s *Server) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if err := s.processEffects(ctx); err != nil {
			return trace.Wrap(err)
		}
		// Each select has the work that goes before that of the next one.
		select {
		case call := <-s.agreementCalls:
			call(clock.Now())
			continue
		default:
		}
		select {
		case <-ticker.C:
			s.tick(ctx, clock.Now())
			continue
		default:
		}
		select {
		case call := <-s.urgentCalls:
			call(clock.Now())
			continue
		default:
		}
		select {
		case err := <-s.saveResult:
			if err := s.handleSaveResult(ctx, err); err != nil {
				return trace.Wrap(err)
			}
		case call := <-s.agreementCalls:
			call(clock.Now())
		case call := <-s.urgentCalls:
			call(clock.Now())
		case <-ctx.Done():
			return nil
		case next := <-s.Reload:
			s.Settings.Seeds = next.Seeds
			s.Log.WithField("seeds", next.Seeds).Info("settings reloaded")
		case call := <-s.calls:
			call(clock.Now())
		case <-ticker.C:
			s.tick(ctx, clock.Now())
		}
	}
}

// runUrgent is runInLoop for calls that do not wait behind renewals and announcements.
func (s *Server) runUrgent(ctx context.Context, f func(now time.Time)) bool {
	s.prepare()
	return s.runThrough(ctx, s.urgentCalls, f)
}

// runInLoop runs f in the loop and waits for it; false means that the server stopped or ctx
// ended first.
func (s *Server) runInLoop(ctx context.Context, f func(now time.Time)) bool {
	s.prepare()
	return s.runThrough(ctx, s.calls, f)
}

// runThrough is runInLoop for a given queue of calls.
func (s *Server) runThrough(ctx context.Context, calls chan<- func(now time.Time), f func(now time.Time)) bool {
	done := make(chan struct{})
	var begun atomic.Bool
	call := func(now time.Time) {
		if begun.CompareAndSwap(false, true) {
			f(now)
		}
		close(done)
	}
	select {
	case calls <- call:
	case <-s.loopDone:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-s.loopDone:
		return false
	case <-ctx.Done():
		if begun.CompareAndSwap(false, true) {
			return false
		}
	}
	select {
	case <-done:
		return true
	case <-s.loopDone:
		return false
	}
}

func (s *Server) tick(ctx context.Context, now time.Time) {
	s.node.Tick(now)
	s.terms.observe(now, s.node.Term(), s.node.LeaderKey() != "")
	if !s.leading(now) {
		return
	}
	for _, action := range s.leader.Tick(now) {
		s.runAction(ctx, action)
	}
	s.sendQuestions(ctx, now)
	s.updateMembership()
}

// leading reports whether this VM may answer as the leader, and starts the leader's term if it is new.
func (s *Server) leading(now time.Time) bool {
	if !s.node.HasLeaderLease(now) || !s.node.AppliedCurrentTerm() {
		return false
	}
	if s.leadingTerm != s.node.Term() {
		s.leadingTerm = s.node.Term()
		s.terms.observe(now, s.leadingTerm, true)
		s.leader.Pace = directory.Pace{LinkBytesPerSecond: s.Settings.linkBytesPerSecond(), Restarts: s.terms.restarts(now)}
		s.leader.StartTerm(now, s.leadingTerm)
		s.proposedIndex = map[string]uint64{}
		s.metrics.leaderships.Add(1)
		s.Log.WithFields(logrus.Fields{"term": s.leadingTerm, "recent-terms": s.leader.Pace.Restarts}).Info("became leader of the control VMs")
	}
	return true
}

// processEffects persists, sends and applies the effects of the node. Writes run outside of the
// loop, so that a stalled or full disk only keeps this VM from acknowledging entries and votes.
func (s *Server) processEffects(ctx context.Context) error {
	for s.pendingSave == nil {
		effects := s.node.TakeEffects()
		if effects.Empty() {
			return nil
		}
		if effects.MustSync() {
			s.pendingSave = &effects
			s.save(0)
			return nil
		}
		if err := s.completeEffects(ctx, &effects); err != nil {
			return err
		}
	}
	return nil
}

// save writes the pending effects after a delay and sends the outcome to s.saveResult.
func (s *Server) save(pause time.Duration) {
	effects, store, saved := s.pendingSave, s.store, s.saveResult
	go func() {
		time.Sleep(pause)
		saved <- store.Save(effects)
	}()
}

// handleSaveResult handles the outcome of a write. A failed write is retried, since nothing was
// acknowledged yet.
func (s *Server) handleSaveResult(ctx context.Context, err error) error {
	if err != nil {
		if !s.saveFailing {
			s.Log.WithError(err).Error("write to the data folder failed; this VM acknowledges nothing until a retry succeeds")
		}
		s.saveFailing = true
		s.save(saveRetryDelay)
		return nil
	}
	if s.saveFailing {
		s.Log.Info("write to the data folder succeeded after a failure")
	}
	s.saveFailing = false
	s.metrics.syncs.Add(1)
	effects := s.pendingSave
	s.pendingSave = nil
	return s.completeEffects(ctx, effects)
}

// completeEffects sends and applies effects that are synced.
func (s *Server) completeEffects(ctx context.Context, effects *raft.Effects) error {
	s.node.MarkSynced(effects)
	if effects.Snapshot != nil {
		s.snapshot = effects.Snapshot
	}
	s.hasState = s.hasState || roster.HasExistingState(raft.PersistentState{Snapshot: effects.Snapshot, Entries: effects.Entries})
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
	for _, waiter := range s.publishWaiters[result.GetId()] {
		waiter <- result
	}
	delete(s.publishWaiters, result.GetId())
}

// leaderAddress returns the leader's address, or "" if this VM does not know it.
func (s *Server) leaderAddress() string {
	if s.diskless {
		return s.redirectTarget
	}
	for _, m := range s.node.Membership().GetMembers() {
		if raft.MemberKey(m) == s.node.LeaderKey() {
			return m.GetAddress()
		}
	}
	return ""
}
