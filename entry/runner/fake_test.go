package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/runner"
	"trefoilcourse/wire"
)

// ran is one statement that a fake server was asked for.
type ran struct {
	slot  string
	text  string
	floor session.Position
	conn  int
}

// servers are fake backend servers; answer decides about each statement.
type servers struct {
	mu     sync.Mutex
	answer func(slot, text string, floor session.Position) (runner.Reply, error)
	ran    []ran
	opened int
	closed int
	steps  []setup.Steps
}

func (s *servers) Connect(_ context.Context, t runner.Target) (runner.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return &conn{servers: s, slot: t.Slot, number: s.opened, state: 'I'}, nil
}

func (s *servers) asked() []ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ran(nil), s.ran...)
}

type conn struct {
	servers *servers
	slot    string
	number  int
	state   byte
}

func (c *conn) ask(text string, floor session.Position) (runner.Reply, error) {
	c.servers.mu.Lock()
	c.servers.ran = append(c.servers.ran, ran{c.slot, text, floor, c.number})
	answer := c.servers.answer
	c.servers.mu.Unlock()
	reply, err := answer(c.slot, text, floor)
	if reply.State == 0 {
		reply.State = c.state
	}
	c.state = reply.State
	return reply, err
}

func (c *conn) Begin(_ time.Time, readOnly bool, floor session.Position) (runner.Reply, error) {
	reply, err := c.ask(map[bool]string{true: "begin read", false: "begin"}[readOnly], floor)
	if err == nil && reply.Verdict == runner.Succeeded {
		c.state, reply.State = 'T', 'T'
	}
	return reply, err
}

func (c *conn) Run(_ time.Time, steps setup.Steps, q runner.Query) (runner.Reply, error) {
	c.servers.mu.Lock()
	c.servers.steps = append(c.servers.steps, steps)
	c.servers.mu.Unlock()
	reply, err := c.ask(q.Text, q.Floor)
	if q.Text == "commit" {
		c.state, reply.State = 'I', 'I'
	}
	return reply, err
}

func (c *conn) Rollback(time.Time) error {
	_, err := c.ask("rollback", session.Position{})
	c.state = 'I'
	return err
}

func (c *conn) Ping(time.Time) (runner.Reply, error) {
	return runner.Reply{State: 'I', Position: session.Position{Term: 1, Offset: 50}}, nil
}

func (c *conn) Interrupt()  {}
func (c *conn) Alive() bool { return true }

func (c *conn) Close() {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	c.servers.closed++
}

// owner is a runner that owns group g, with primary p and replica r.
type owner struct {
	t      *testing.T
	runner *runner.Runner
	// halt ends the runner's beat.
	halt    func()
	view    *view.View
	servers *servers
	// late moves the clock by which leases end.
	late     time.Duration
	mu       sync.Mutex
	revision uint64
}

func (o *owner) clock() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return clock.Now().Add(o.late)
}

// endLease lets the time of every lease pass.
func (o *owner) endLease() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late = time.Hour
}

const allowance = `{"milliseconds":1500}`

func database(consistency string) string {
	return fmt.Sprintf(`{"group":"g","consistency":%q,"staleness-allowance":"age","statement-milliseconds":2000}`, consistency)
}

// renew gives the runner a new view of the group, as an answer of the control leader would.
func (o *owner) renew(state *wire.GroupState, term uint64) {
	o.revision++
	o.view.ApplyRenewal(o.clock(), &wire.RenewResponse{
		Accepted: true, ControlTerm: 1, LeaseMilliseconds: 60_000,
		ConfigurationVersion: 1, ConfigurationWhole: true,
		Objects: []*wire.Object{
			{Kind: "database-group", Name: "g", Body: []byte(`{"announced":true,"connections":20,"acknowledge":"primary-only","idle-in-transaction-milliseconds":60000}`)},
			{Kind: "staleness-allowance", Name: "age", Body: []byte(allowance)},
			{Kind: "database", Name: "exact", Body: []byte(database("primary"))},
			{Kind: "database", Name: "aged", Body: []byte(database("bounded"))},
			{Kind: "database", Name: "exact-hasty", Body: []byte(`{"group":"g","consistency":"primary","statement-milliseconds":2000,"latency-milliseconds":40}`)},
			{Kind: "database", Name: "hasty", Body: []byte(`{"group":"g","consistency":"bounded","staleness-allowance":"age","statement-milliseconds":2000,"latency-milliseconds":40}`)},
			{Kind: "database", Name: "own", Body: []byte(database("session"))},
		},
		DirectoryEpoch: 1, DirectoryRevision: o.revision, Groups: []*wire.GroupState{state},
		Grants: []*wire.Grant{{Group: "g", Term: term, Connections: 8}},
	})
}

func group(term uint64, primary string, slots ...string) *wire.GroupState {
	state := &wire.GroupState{Group: "g", Term: term, PrimarySlot: primary, Owners: []string{"e1"}}
	for _, slot := range slots {
		state.Servers = append(state.Servers, &wire.Server{Slot: slot, Address: slot + ":1", FailureDomain: "d1", Concurrency: 1})
	}
	return state
}

// own starts a runner that holds the group in term 1; answer decides what servers say.
func own(t *testing.T, answer func(slot, text string, floor session.Position) (runner.Reply, error)) *owner {
	is := is.New(t)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	o := &owner{t: t, view: view.New(), servers: &servers{answer: answer}}
	o.view.Clock = o.clock
	o.renew(group(1, "p", "p", "r"), 1)
	o.runner = &runner.Runner{
		VM: "e1", FailureDomain: "d1", View: o.view, Servers: o.servers, Poke: func() {},
		Metrics: &metrics.Metrics{}, Log: log,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.runner.Run(ctx) }()
	o.halt = sync.OnceFunc(func() {
		cancel()
		is.NoErr(<-ended)
	})
	t.Cleanup(o.halt)
	o.until(func() bool { return len(o.holdings()) == 1 && o.holdings()[0].GetTerm() == 1 })
	return o
}

func (o *owner) holdings() []*wire.Holding {
	request := &wire.RenewRequest{}
	o.runner.Report(o.clock(), request)
	return request.GetHoldings()
}

// until waits for a condition that the runner brings about by itself.
func (o *owner) until(condition func() bool) {
	o.t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	o.t.Fatal("the runner does not get there")
}

func (o *owner) execute(q *wire.StatementRequest) *wire.StatementAnswer {
	q.PatienceMilliseconds = 1000
	return o.runner.Execute(context.Background(), q)
}

func read(name string) *wire.StatementRequest {
	return &wire.StatementRequest{Database: name, Id: "1", Text: "read"}
}

func write() *wire.StatementRequest {
	return &wire.StatementRequest{Database: "exact", Id: "1", Text: "write", Kind: wire.StatementKind_STATEMENT_KIND_WRITE}
}

// good answers everything with success, at a position.
func good(offset uint64) runner.Reply {
	return runner.Reply{Signature: "signed", Position: session.Position{Term: 1, Offset: offset}}
}
