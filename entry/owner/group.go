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
	queuePerWorker   = 8
	watchConnections = 1
)

// group is the state of one group that this VM owns.
type group struct {
	owner     *Owner
	name      string
	ctx       context.Context
	cancel    context.CancelFunc
	watchDone chan struct{}
	pool      *pool
	workers   pond.Pool

	mu       sync.Mutex
	queue    admit.Queue
	queued   map[uint64]*queuedUnit
	lastID   uint64
	running  int
	budget   retry.Budget
	capacity int
	// primaryUnits counts the units of work on the primary; primaryClosing rejects further ones.
	primaryUnits   int
	primaryClosing bool
	termReleased   bool

	primaryWatch watch.PrimaryWatcher
	activeReads  map[string]int
	waiters      map[uint64]chan watch.WaitResult
	pollNow      chan struct{}
}

// queuedUnit is a unit of work that waits in the admission queue.
type queuedUnit struct {
	run    func(ctx context.Context)
	refuse func(*outcome.Refusal)
}

func newGroup(ctx context.Context, owner *Owner, name string) *group {
	ctx, cancel := context.WithCancel(ctx)
	g := &group{
		owner: owner, name: name, ctx: ctx, cancel: cancel, watchDone: make(chan struct{}),
		queued: map[uint64]*queuedUnit{}, activeReads: map[string]int{},
		waiters: map[uint64]chan watch.WaitResult{}, pollNow: make(chan struct{}, 1), workers: pond.NewPool(1),
	}
	g.pool = newPool(g)
	go func() {
		defer close(g.watchDone)
		g.watch(ctx)
	}()
	return g
}

func (g *group) stop() {
	g.cancel()
	g.pool.close()
	<-g.watchDone
	g.workers.StopAndWait()
}

// reconcile enforces the lease and reports whether the group can be removed.
func (g *group) reconcile(now time.Time) bool {
	allowed := g.owner.View.Connections(g.name)
	leased := g.owner.View.Leased(g.name)
	g.pool.setLimit(allowed)
	g.endSupersededWaits(g.owner.View.AckTerm(g.name))
	if !leased {
		g.refuseQueued()
		g.pool.close()
		return true
	}
	g.resize(allowed)
	g.releaseLeavingTerm()
	g.updateHealth(now)
	if allowed > 0 {
		return false
	}
	if g.load() == 0 {
		g.cancel()
		g.pool.close()
		return g.pool.size() == 0
	}
	return false
}

func (g *group) resize(allowed int) {
	workers := max(1, allowed-watchConnections)
	g.mu.Lock()
	defer g.mu.Unlock()
	if workers == g.capacity {
		return
	}
	g.capacity = workers
	g.queue.Workers = workers
	g.queue.Limit = workers * queuePerWorker
	g.workers.Resize(workers)
}

func (g *group) refuseQueued() {
	g.mu.Lock()
	waiting := g.queued
	g.queued = map[uint64]*queuedUnit{}
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

// report returns the holding and the health observation to send to the control leader. Connections
// counts those that are open now or may be opened under the current limit.
func (g *group) report() (*wire.Holding, *wire.Observation) {
	allowed := g.owner.View.Connections(g.name)
	holding := &wire.Holding{
		Group: g.name, Connections: uint32(max(g.pool.size(), allowed)), Demand: uint32(g.load()),
	}
	if allowed > 0 || g.load() > 0 {
		holding.Term = g.owner.View.AckTerm(g.name)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	health, known := wireHealth[g.primaryWatch.Health()]
	if !known {
		return holding, nil
	}
	return holding, &wire.Observation{Group: g.name, Term: g.primaryWatch.Term(), Health: health}
}

var wireHealth = map[watch.Health]wire.PrimaryHealth{
	watch.Good:        wire.PrimaryHealth_PRIMARY_HEALTH_GOOD,
	watch.Unreachable: wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE,
	watch.Stalled:     wire.PrimaryHealth_PRIMARY_HEALTH_STALLED,
}

// admit queues a unit of work or rejects it at once.
func (g *group) admit(now time.Time, key string, deadline time.Time, unit *queuedUnit) *outcome.Refusal {
	if g.owner.View.Connections(g.name) == 0 {
		return notOwner(g.name)
	}
	g.mu.Lock()
	g.budget.RecordRequest()
	g.lastID++
	id := g.lastID
	verdict, dropped := g.queue.Push(now, admit.Request{ID: id, Key: key, Deadline: deadline})
	if verdict == admit.Queued {
		g.queued[id] = unit
	}
	evicted := g.removeQueued(dropped)
	g.mu.Unlock()
	for _, d := range evicted {
		d.refuse(queueFull(g.name))
	}
	switch verdict {
	case admit.QueueFull:
		return queueFull(g.name)
	case admit.DeadlineExceeded:
		return tooLate(g.name)
	}
	if err := g.workers.Go(g.runNext); err != nil {
		g.mu.Lock()
		delete(g.queued, id)
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

func (g *group) removeQueued(requests []admit.Request) []*queuedUnit {
	var removed []*queuedUnit
	for _, r := range requests {
		if t := g.queued[r.ID]; t != nil {
			removed = append(removed, t)
			delete(g.queued, r.ID)
		}
	}
	return removed
}

// runNext runs the next request of the queue; it is called once for each queued request.
func (g *group) runNext() {
	g.mu.Lock()
	request, expired, ok := g.queue.Next(time.Now())
	late := g.removeQueued(expired)
	var unit *queuedUnit
	if ok {
		unit = g.queued[request.ID]
		delete(g.queued, request.ID)
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
	if unit != nil {
		unit.run(g.ctx)
	}
	g.mu.Lock()
	g.running--
	g.queue.ObserveServiceTime(time.Since(started))
	g.mu.Unlock()
}

// allowRetry reports whether a retry is within the group's retry budget, and counts it.
func (g *group) allowRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.AllowRetry() {
		return false
	}
	g.owner.Metrics.Retries.Add(1)
	return true
}
