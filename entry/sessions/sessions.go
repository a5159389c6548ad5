package sessions

import (
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
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// Executor runs statements as an owner; runner.Runner implements it.
type Executor interface {
	Execute(ctx context.Context, q *wire.StatementRequest) *wire.StatementAnswer
	End(unit string)
}

// Sessions makes the sessions of one entry VM; set the exported fields before the first call.
type Sessions struct {
	VM            string
	FailureDomain string
	// Life tells one start of the daemon from another, so that no unit's name is used twice.
	Life string
	View *view.View
	// Local runs what this VM owns.
	Local Executor
	// Woke reports whether this VM stood still until a moment ago; nil means that it never does.
	Woke func() bool
	// Dialer opens connections to other entry VMs.
	Dialer  protorpc.Dialer
	Metrics *metrics.Metrics
	Log     logrus.FieldLogger

	late  lateLines
	next  atomic.Uint64
	mu    sync.Mutex
	links map[string]*link
}

// Open begins a session with a database, and reports false if no database has the name.
func (s *Sessions) Open(database string) (*Session, bool) {
	if _, _, _, ok := s.View.Database(database); !ok {
		return nil, false
	}
	return &Session{
		sessions: s, database: database, id: s.name(),
		values: map[string]string{}, prepared: map[string]definition{},
	}, true
}

// Confirmed reports whether this VM may act on the configuration that it knows; it waits for that
// a little, since a VM that has just started will soon be told.
func (s *Sessions) Confirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for {
		changed := s.View.Changed()
		if s.View.Confirmed() {
			return !s.CutOff()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Sessions) name() string {
	return s.VM + "/" + s.Life + "/" + strconv.FormatUint(s.next.Add(1), 36)
}

// owners returns the owners of a group, nearest first: this VM, then its failure domain, then
// the others in an order of this VM's own, so that VMs spread over them.
func (s *Sessions) owners(group string) []string {
	owners := slices.Clone(s.View.Group(group).GetOwners())
	slices.SortStableFunc(owners, func(a, b string) int { return s.distance(a) - s.distance(b) })
	return owners
}

func (s *Sessions) distance(vm string) int {
	const far = 1 << 20
	switch m := s.View.Member(vm); {
	case vm == s.VM:
		return 0
	case m == nil:
		return 2*far + 1
	case s.link(m.GetLinkAddress()).isDown():
		return 2 * far
	case m.GetFailureDomain() == s.FailureDomain:
		return 1
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(vm + "/" + s.VM))
	return 2 + int(sum.Sum32()%far)
}

// link returns the way to another entry VM.
func (s *Sessions) link(address string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[string]*link{}
	}
	if s.links[address] == nil {
		s.links[address] = &link{client: protorpc.Client{Address: address, Dialer: s.Dialer, KeepConnOnCancel: true}}
	}
	return s.links[address]
}

// end has an owner roll a transaction back, without waiting for it.
func (s *Sessions) end(vm, unit string) {
	if vm == s.VM {
		go s.Local.End(unit)
		return
	}
	m := s.View.Member(vm)
	if m == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		// An owner that is not reached ends the transaction when it has been idle for long.
		_ = s.link(m.GetLinkAddress()).client.Call(ctx, "Statements.End", &wire.UnitRequest{Unit: unit}, &wire.Empty{})
	}()
}

// Close ends the links to other entry VMs.
func (s *Sessions) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.client.Close()
	}
}

// confirmWait is half of what callers wait for a session to begin.
const confirmWait = time.Second

// endTimeout is enough for any link that works.
const endTimeout = time.Second
