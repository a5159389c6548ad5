package sessions

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/statement"
	"trefoilcourse/wire"
	"trefoilcourse/wire/lines"
	"trefoilcourse/wire/protorpc"
)

// Executor runs statements on an owner; runner.Runner implements it.
type Executor interface {
	Execute(ctx context.Context, q *wire.StatementRequest) *wire.StatementAnswer
	End(unit string)
}

// Sessions opens the sessions of one entry VM; set the exported fields before the first call.
type Sessions struct {
	VM            string
	FailureDomain string
	// Incarnation identifies one run of the daemon and keeps transaction ids unique across restarts.
	Incarnation string
	View        *view.View
	// Regions maps failure domains to regions; nil if they are not known.
	Regions map[string]string
	// Local runs statements for groups that this VM owns.
	Local Executor
	// RecentlySuspended reports whether this VM was suspended until a moment ago; nil means never.
	RecentlySuspended func() bool
	// Dialer opens connections to other entry VMs.
	Dialer  protorpc.Dialer
	Metrics *metrics.Metrics
	Log     logrus.FieldLogger
	// KeyLifetime is how long a removed key may be accepted; 0 means view.ConfirmWithin.
	KeyLifetime time.Duration

	lateLogs, keyLogs, unreadableLogs lines.Limiter
	nextID                            atomic.Uint64
	mu                                sync.Mutex
	links                             map[string]*link
}

// Open starts a session with a database for a caller that presents a key. Without a session, the answer
// says why.
func (s *Sessions) Open(ctx context.Context, database, key string) (*Session, statement.Answer) {
	if _, _, _, ok := s.View.Database(database); !ok {
		return nil, refuse(statement.NoDatabase, "no database is named "+database)
	}
	session := &Session{
		sessions: s, database: database, id: s.newID(),
		values: map[string]string{}, prepared: map[string]definition{},
	}
	if a := session.admit(ctx, key); a.Outcome != statement.Done {
		return nil, a
	}
	return session, statement.Answer{Outcome: statement.Done}
}

// WaitConfirmed reports whether this VM may act on the configuration that it knows. It waits up to
// confirmTimeout, since a VM that has just started receives its configuration shortly.
func (s *Sessions) WaitConfirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		changed := s.View.Changed()
		if s.View.Confirmed() {
			return !s.Isolated()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Sessions) newID() string {
	return s.VM + "/" + s.Incarnation + "/" + strconv.FormatUint(s.nextID.Add(1), 36)
}

// owners returns the owners of a group in the order in which they are tried: by the length of the way to
// the servers if regions are known, then nearest first: this VM, then its failure domain, then the others
// in an order hashed per VM, which spreads the load over them.
func (s *Sessions) owners(group string, primaryOnly bool) []string {
	state := s.View.Group(group)
	owners := slices.Clone(state.GetOwners())
	way := func(string) int { return 0 }
	if s.Regions != nil {
		way = func(vm string) int { return s.wayThrough(vm, state, primaryOnly) }
	}
	slices.SortStableFunc(owners, func(a, b string) int { return cmp.Or(way(a)-way(b), s.distance(a)-s.distance(b)) })
	return owners
}

func (s *Sessions) distance(vm string) int {
	const hashRange = 1 << 20
	switch m := s.View.Member(vm); {
	case vm == s.VM:
		return 0
	case m == nil:
		return 2*hashRange + 1
	case s.link(m.GetLinkAddress()).isUnreachable():
		return 2 * hashRange
	case m.GetFailureDomain() == s.FailureDomain:
		return 1
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(vm + "/" + s.VM))
	return 2 + int(sum.Sum32()%hashRange)
}

// link returns the link to another entry VM and creates it if needed.
func (s *Sessions) link(address string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[string]*link{}
	}
	if s.links[address] == nil {
		s.links[address] = &link{client: protorpc.Client{Address: address, Dialer: s.Dialer, KeepConnOnTimeout: true}}
	}
	return s.links[address]
}

// rollback asks an owner to roll back a transaction, without waiting for it.
func (s *Sessions) rollback(vm, unit string) {
	if vm == s.VM {
		go s.Local.End(unit)
		return
	}
	m := s.View.Member(vm)
	if m == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		// An owner that cannot be reached ends the transaction by its idle timeout.
		_ = s.link(m.GetLinkAddress()).client.Call(ctx, "Statements.End", &wire.UnitRequest{Unit: unit}, &wire.Empty{})
	}()
}

// Close closes the links to other entry VMs.
func (s *Sessions) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.client.Close()
	}
}

// confirmTimeout is half of the time that callers wait for a session to start.
const confirmTimeout = time.Second

// rollbackTimeout is long enough for any working link.
const rollbackTimeout = time.Second
