package owner

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"trefoilcourse/coord/admit"
	"trefoilcourse/coord/retry"
	"trefoilcourse/coord/watch"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire"
)

const (
	queuePerWorker  = 8
	watchConnection = 1
)

// group is one group that this VM owns.
type group struct {
	owner  *Owner
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
	pool   *pool
	work   pond.Pool

	mu       sync.Mutex
	queue    admit.Queue
	tickets  map[uint64]*ticket
	nextID   uint64
	running  int
	budget   retry.Budget
	capacity int
	// onPrimary counts units of work on the primary; closing lets no more begin there.
	onPrimary  int
	closing    bool
	handedOver bool

	seen    watch.PrimaryWatcher
	busy    map[string]int
	waiters map[uint64]chan watch.WaitResult
	wake    chan struct{}
}

// ticket is a unit of work that waits for its turn.
type ticket struct {
	run    func(ctx context.Context)
	refuse func(*outcome.Refusal)
}

func newGroup(ctx context.Context, o *Owner, name string) *group {
	ctx, cancel := context.WithCancel(ctx)
	g := &group{
		owner: o, name: name, ctx: ctx, cancel: cancel, ended: make(chan struct{}),
		tickets: map[uint64]*ticket{}, busy: map[string]int{},
		waiters: map[uint64]chan watch.WaitResult{}, wake: make(chan struct{}, 1), work: pond.NewPool(1),
	}
	g.pool = newPool(g)
	go func() {
		defer close(g.ended)
		g.watch(ctx)
	}()
	return g
}

func (g *group) stop() {
	g.cancel()
	g.pool.close()
	<-g.ended
	g.work.StopAndWait()
}

// tend enforces the lease and reports whether the group is done with.
func (g *group) tend(now time.Time) bool {
	allowed := g.owner.View.Connections(g.name)
	held := g.owner.View.Leased(g.name)
	g.pool.limit(allowed)
	g.dropSuperseded(g.owner.View.AckTerm(g.name))
	if !held {
		g.refuseWaiting()
		g.pool.close()
		return true
	}
	g.resize(allowed)
	g.handOver()
	g.judge(now)
	if allowed > 0 {
		return false
	}
	if g.load() == 0 {
		g.cancel()
		g.pool.close()
		return g.pool.open() == 0
	}
	return false
}

func (g *group) resize(allowed int) {
	workers := max(1, allowed-watchConnection)
	g.mu.Lock()
	defer g.mu.Unlock()
	if workers == g.capacity {
		return
	}
	g.capacity = workers
	g.queue.Workers = workers
	g.queue.Limit = workers * queuePerWorker
	g.work.Resize(workers)
}

func (g *group) refuseWaiting() {
	g.mu.Lock()
	waiting := g.tickets
	g.tickets = map[uint64]*ticket{}
	g.queue = admit.Queue{Workers: g.queue.Workers, Limit: g.queue.Limit}
	g.mu.Unlock()
	for _, t := range waiting {
		t.refuse(notOwner(g.name))
	}
}

func notOwner(name string) *outcome.Refusal {
	return outcome.NotRun(outcome.NotOwner, "this entry VM holds no lease on database "+name, "Send it again; another owner serves it.")
}

// load returns the number of units of work that run or wait.
func (g *group) load() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running + g.queue.Len()
}

// report tells the control leader what is held; the most that may be open from now on.
func (g *group) report() (*wire.Holding, *wire.Observation) {
	allowed := g.owner.View.Connections(g.name)
	holding := &wire.Holding{
		Group: g.name, Connections: uint32(max(g.pool.open(), allowed)), Demand: uint32(g.load()),
	}
	if allowed > 0 || g.load() > 0 {
		holding.Term = g.owner.View.AckTerm(g.name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	health, known := wireHealth[g.seen.Health()]
	if !known {
		return holding, nil
	}
	return holding, &wire.Observation{Group: g.name, Term: g.seen.Term(), Health: health}
}

var wireHealth = map[watch.Health]wire.PrimaryHealth{
	watch.Good:        wire.PrimaryHealth_PRIMARY_HEALTH_GOOD,
	watch.Unreachable: wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE,
	watch.Stalled:     wire.PrimaryHealth_PRIMARY_HEALTH_STALLED,
}

// admit queues a unit of work or refuses it at once.
func (g *group) admit(now time.Time, key string, deadline time.Time, t *ticket) *outcome.Refusal {
	if g.owner.View.Connections(g.name) == 0 {
		return notOwner(g.name)
	}
	g.mu.Lock()
	g.budget.RecordRequest()
	g.nextID++
	id := g.nextID
	verdict, dropped := g.queue.Push(now, admit.Request{ID: id, Key: key, Deadline: deadline})
	if verdict == admit.Queued {
		g.tickets[id] = t
	}
	out := g.takeTickets(dropped)
	g.mu.Unlock()
	for _, d := range out {
		d.refuse(queueFull(g.name))
	}
	switch verdict {
	case admit.QueueFull:
		return queueFull(g.name)
	case admit.DeadlineExceeded:
		return tooLate(g.name)
	}
	if err := g.work.Go(g.runNext); err != nil {
		g.mu.Lock()
		delete(g.tickets, id)
		g.mu.Unlock()
		return notOwner(g.name)
	}
	return nil
}

func queueFull(name string) *outcome.Refusal {
	return outcome.NotRun(outcome.QueueFull, "too many requests wait for database "+name, "Send it again later; send fewer at once.")
}

func tooLate(name string) *outcome.Refusal {
	return outcome.NotRun(outcome.TooLate, "its deadline would pass before a connection to database "+name+" is free", "Send it again later, or with a later trefoil.deadline.")
}

func (g *group) takeTickets(requests []admit.Request) []*ticket {
	var out []*ticket
	for _, r := range requests {
		if t := g.tickets[r.ID]; t != nil {
			out = append(out, t)
			delete(g.tickets, r.ID)
		}
	}
	return out
}

// runNext runs the request whose turn it is; it is called once for each that was queued.
func (g *group) runNext() {
	g.mu.Lock()
	r, expired, ok := g.queue.Next(time.Now())
	late := g.takeTickets(expired)
	var t *ticket
	if ok {
		t = g.tickets[r.ID]
		delete(g.tickets, r.ID)
		g.running++
	}
	g.mu.Unlock()
	for _, l := range late {
		l.refuse(tooLate(g.name))
	}
	if !ok {
		return
	}
	started := time.Now()
	if t != nil {
		t.run(g.ctx)
	}
	g.mu.Lock()
	g.running--
	g.queue.ObserveServiceTime(time.Since(started))
	g.mu.Unlock()
}

// retry reports whether a retry is within the group's budget.
func (g *group) retry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.AllowRetry() {
		return false
	}
	g.owner.Metrics.Retries.Add(1)
	return true
}
