package sessions_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/session"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/sessions"
	"trefoilcourse/entry/statement"
	"trefoilcourse/wire"
)

// owner is a fake owner that answers as it is told.
type owner struct {
	mu     sync.Mutex
	asked  []*wire.StatementRequest
	ended  []string
	answer func(q *wire.StatementRequest) *wire.StatementAnswer
}

func (o *owner) Execute(_ context.Context, q *wire.StatementRequest) *wire.StatementAnswer {
	o.mu.Lock()
	o.asked = append(o.asked, q)
	o.mu.Unlock()
	return o.answer(q)
}

func (o *owner) End(unit string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, unit)
}

func (o *owner) texts() (all []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.asked {
		all = append(all, q.GetText())
	}
	return all
}

func answer(d wire.Disposition, state string) *wire.StatementAnswer {
	return &wire.StatementAnswer{Disposition: d, State: state, Signature: "signed", Position: session.Position{Term: 1, Offset: 7}.Wire()}
}

func done(state string) func(*wire.StatementRequest) *wire.StatementAnswer {
	return func(*wire.StatementRequest) *wire.StatementAnswer {
		return answer(wire.Disposition_DISPOSITION_ANSWERED, state)
	}
}

// open begins a session on e1 with a database that local owns, and remote as well if it is not nil.
func open(t *testing.T, local, remote *owner) *sessions.Session {
	s, _ := openAt(t, local, remote, clock.Now)
	return s
}

// notHere is an owner that may run nothing.
func notHere() *owner {
	return &owner{answer: func(*wire.StatementRequest) *wire.StatementAnswer {
		return answer(wire.Disposition_DISPOSITION_ELSEWHERE, "")
	}}
}

// network opens connections that can be made to lose all that is sent.
type network struct {
	net.Dialer
	quiet atomic.Bool
	// woke says that the VM itself has stood still.
	woke atomic.Bool
}

func (n *network) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := n.Dialer.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	return &lossy{conn, n}, nil
}

type lossy struct {
	net.Conn
	network *network
}

func (l *lossy) Write(p []byte) (int, error) {
	if l.network.quiet.Load() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// openAt does the same with a clock that may show that the control leader was heard long ago.
func openAt(t *testing.T, local, remote *owner, now func() time.Time) (*sessions.Session, *network) {
	is := is.New(t)
	dialer := &network{}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	v := view.New()
	v.Clock = now
	state := &wire.GroupState{Group: "g", Owners: []string{"e1"}}
	members := []*wire.Member{{Vm: "e1", FailureDomain: "d1"}}
	if remote != nil {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- sessions.Serve(ctx, listener, remote) }()
		t.Cleanup(func() {
			cancel()
			is.NoErr(<-ended)
		})
		state.Owners = append(state.Owners, "e2")
		members = append(members, &wire.Member{Vm: "e2", FailureDomain: "d2", LinkAddress: listener.Addr().String()})
	}
	v.Answered(clock.Now(), &wire.RenewResponse{
		Accepted: true, ControlTerm: 1, ConfigurationVersion: 1, ConfigurationWhole: true,
		Objects: []*wire.Object{
			{Kind: "database-group", Name: "g", Body: []byte(`{"announced":true}`)},
			{Kind: "database", Name: "d", Body: []byte(`{"group":"g","consistency":"session","statement-milliseconds":300}`)},
		},
		DirectoryEpoch: 1, DirectoryRevision: 1, Groups: []*wire.GroupState{state}, Members: members,
	})
	s := &sessions.Sessions{VM: "e1", FailureDomain: "d1", Incarnation: "1", View: v, Local: local, RecentlySuspended: dialer.woke.Load, Dialer: dialer, Metrics: &metrics.Metrics{}, Log: log}
	t.Cleanup(s.Close)
	one, ok := s.Open("d")
	is.True(ok)
	_, ok = s.Open("other")
	is.True(!ok)
	return one, dialer
}

func do(s *sessions.Session, k statement.Kind, text string) statement.Answer {
	return s.Do(context.Background(), statement.Statement{ID: "1", Text: text, Kind: k, Name: "n", Value: text, Definition: statement.Definition{Text: text, Writes: true}})
}

func TestValuesAndPreparedNamesStayWithTheSession(t *testing.T) {
	is := is.New(t)
	o := &owner{answer: done("I")}
	s := open(t, o, nil)
	is.Equal(do(s, statement.Execute, "x").Outcome, statement.NoStatement)
	is.Equal(do(s, statement.Set, "v").Outcome, statement.Done)
	is.Equal(do(s, statement.Prepare, "definition").Outcome, statement.Done)
	is.Equal(do(s, statement.Execute, "x").Outcome, statement.Done)
	q := o.asked[0]
	is.Equal(q.GetSettings()[0].GetValue(), "v")
	is.Equal(q.GetDefinition(), "definition")
	is.Equal(q.GetKind(), wire.StatementKind_STATEMENT_KIND_WRITE)
	is.Equal(do(s, statement.Deallocate, "").Outcome, statement.Done)
	is.Equal(do(s, statement.Execute, "x").Outcome, statement.NoStatement)
}

func TestSessionSeesItsOwnWrites(t *testing.T) {
	is := is.New(t)
	o := &owner{answer: done("I")}
	s := open(t, o, nil)
	_ = do(s, statement.Read, "r")
	_ = do(s, statement.Write, "w")
	_ = do(s, statement.Read, "r")
	is.Equal(o.asked[1].GetFloor().GetOffset(), uint64(0)) // a read raises no floor
	is.Equal(o.asked[2].GetFloor().GetOffset(), uint64(7))
}

func TestTransactionBeginsWithItsFirstStatement(t *testing.T) {
	is := is.New(t)
	o := &owner{answer: done("T")}
	s := open(t, o, nil)
	is.Equal(do(s, statement.Begin, "").State, statement.InTransaction)
	is.Equal(len(o.asked), 0)
	_ = do(s, statement.Read, "r")
	_ = do(s, statement.Write, "w")
	is.True(o.asked[0].GetBegins() && !o.asked[1].GetBegins())
	is.Equal(o.asked[0].GetUnit(), o.asked[1].GetUnit())
	is.Equal(do(s, statement.Rollback, "").State, statement.Idle)
	is.Equal(do(s, statement.Rollback, "").Outcome, statement.Unreadable)
}

func TestFailedTransactionOnlyEnds(t *testing.T) {
	is := is.New(t)
	o := &owner{answer: func(*wire.StatementRequest) *wire.StatementAnswer {
		return answer(wire.Disposition_DISPOSITION_ROLLED_BACK, "")
	}}
	s := open(t, o, nil)
	_ = do(s, statement.Begin, "")
	a := do(s, statement.Write, "w")
	is.Equal(a.Outcome, statement.RolledBack)
	is.Equal(a.State, statement.Failed)
	is.Equal(do(s, statement.Set, "v").Outcome, statement.Unreadable)
	a = do(s, statement.Commit, "c")
	is.Equal(a.Outcome, statement.RolledBack) // never a success
	is.Equal(a.State, statement.Idle)
	is.Equal(o.texts(), []string{"w"})
}

// TestWhatALostOwnerMeans: what was not asked to be committed is rolled back, what was may be kept.
func TestWhatALostOwnerMeans(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds []statement.Kind
		want  statement.Outcome
	}{
		{"a write", []statement.Kind{statement.Write}, statement.Unknown},
		{"a write in a transaction", []statement.Kind{statement.Begin, statement.Write}, statement.RolledBack},
		{"a commit of a write", []statement.Kind{statement.Begin, statement.Write, statement.Commit}, statement.Unknown},
		{"a commit of a read", []statement.Kind{statement.Begin, statement.Read, statement.Commit}, statement.RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := &owner{answer: done("T")}
			s := open(t, o, nil)
			var last statement.Answer
			for i, k := range c.kinds {
				if i == len(c.kinds)-1 {
					o.answer = func(*wire.StatementRequest) *wire.StatementAnswer {
						return answer(wire.Disposition_DISPOSITION_UNKNOWN, "")
					}
				}
				last = do(s, k, "x")
			}
			is.Equal(last.Outcome, c.want)
		})
	}
}

func TestAnotherOwnerRunsWhatDidNotRun(t *testing.T) {
	is := is.New(t)
	local := &owner{answer: func(*wire.StatementRequest) *wire.StatementAnswer {
		return answer(wire.Disposition_DISPOSITION_ELSEWHERE, "")
	}}
	remote := &owner{answer: done("I")}
	s := open(t, local, remote)
	is.Equal(do(s, statement.Write, "w").Outcome, statement.Done)
	is.Equal(remote.texts(), []string{"w"})
	local.answer = func(*wire.StatementRequest) *wire.StatementAnswer {
		return answer(wire.Disposition_DISPOSITION_UNKNOWN, "")
	}
	is.Equal(do(s, statement.Read, "r").Outcome, statement.Done) // a read may run twice
	is.Equal(do(s, statement.Write, "w2").Outcome, statement.Unknown)
	is.Equal(remote.texts(), []string{"w", "r"})
}

func TestUnservableIsRefusedWithTimeLeft(t *testing.T) {
	is := is.New(t)
	o := &owner{answer: func(*wire.StatementRequest) *wire.StatementAnswer {
		return answer(wire.Disposition_DISPOSITION_ELSEWHERE, "")
	}}
	s := open(t, o, nil)
	a := do(s, statement.Write, "w")
	is.Equal(a.Outcome, statement.NotRun)
	is.True(a.RetryMilliseconds > 0)
	is.True(o.asked[len(o.asked)-1].GetAgeMilliseconds() < 300) // the statement's limit was not used up
}

// TestQuietOwnerIsAskedNothingNew: once an owner has been quiet for too long, a write does not
// hang at it until nobody knows whether it ran; when it answers again, it is asked again.
func TestQuietOwnerIsAskedNothingNew(t *testing.T) {
	is := is.New(t)
	remote := &owner{answer: done("I")}
	s, net := openAt(t, notHere(), remote, clock.Now)
	is.Equal(do(s, statement.Write, "w").Outcome, statement.Done)
	net.quiet.Store(true)
	is.Equal(do(s, statement.Read, "r").Outcome, statement.NotRun) // it gives up on the quiet owner
	is.Equal(do(s, statement.Write, "w2").Outcome, statement.NotRun)
	is.Equal(remote.texts(), []string{"w"})
	net.quiet.Store(false)
	is.Equal(do(s, statement.Write, "w3").Outcome, statement.Done)
	is.Equal(remote.texts(), []string{"w", "w3"})
}

// TestCutOffVMRefusesAtOnce: a VM that hears neither the control leader nor an owner keeps nobody
// waiting, since its callers are served by others.
func TestCutOffVMRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	var late atomic.Int64
	local := notHere()
	s, net := openAt(t, local, &owner{answer: done("I")}, func() time.Time { return clock.Now().Add(time.Duration(late.Load())) })
	net.quiet.Store(true)
	is.Equal(do(s, statement.Read, "r").Outcome, statement.NotRun)
	is.Equal(do(s, statement.Write, "w").Outcome, statement.NotRun)
	asked := len(local.texts())
	is.True(asked > 2) // it waits for another owner as long as a leader may name one
	late.Store(int64(time.Second))
	is.Equal(do(s, statement.Write, "w").Outcome, statement.NotRun)
	is.Equal(len(local.texts()), asked+1)
}

// TestNothingOfBeforeAStandstillIsSent: a VM that wakes finds requests of callers that have gone,
// and asks no owner to run them.
func TestNothingOfBeforeAStandstillIsSent(t *testing.T) {
	is := is.New(t)
	local := &owner{answer: done("I")}
	s, vm := openAt(t, local, nil, clock.Now)
	vm.woke.Store(true)
	is.Equal(do(s, statement.Write, "w").Outcome, statement.NotRun)
	is.Equal(len(local.texts()), 0)
	vm.woke.Store(false)
	is.Equal(do(s, statement.Write, "w").Outcome, statement.Done)
}
