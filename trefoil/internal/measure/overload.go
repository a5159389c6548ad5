package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"trefoilcourse/standin"
	"trefoilcourse/trefoil/internal/rig"
	"trefoilcourse/wire"
)

const (
	overloadBase        = "overload-1"
	overloadConnections = 21
	overloadStatement   = 20 * time.Millisecond
	overloadDeadline    = 400 * time.Millisecond
	overloadCallers     = 1200
	overloadStep        = 6 * time.Second
	overloadUsers       = 8
	// overloadWorkers is what is left of the connections for callers' work: three are control's,
	// and each of three owners watches the primary with one.
	overloadWorkers = overloadConnections - 6
	// goodputLimit is the least part of the best goodput that must be left at five times the
	// capacity.
	goodputLimit = 0.8
)

// Step is one load and what became of it.
type Step struct {
	Load    float64 `json:"load"`
	Offered int     `json:"offered-per-second"`
	Good    int     `json:"good-per-second"`
	NotRun  int     `json:"not-run-per-second"`
	Other   int     `json:"other-per-second"`
}

// Overload offers a database reads at parts and multiples of its capacity, whether or not
// earlier ones are answered, and counts those answered within their deadline.
func Overload(ctx context.Context, seed uint64, progress func(string)) ([]Step, error) {
	folder, err := os.MkdirTemp("", "trefoil-overload-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	g := &standin.Group{Name: overloadBase, StatementDelay: overloadStatement, Seed: seed, Slots: []standin.Slot{
		{Name: "a", FailureDomain: "d1"}, {Name: "b", FailureDomain: "d2"}, {Name: "c", FailureDomain: "d3"},
	}}
	r, err := rig.Start(ctx, rig.Plan{Domains: []string{"d1", "d2", "d3"}, Controls: 1, Entries: 4, Groups: []*standin.Group{g}, Plain: true, Folder: folder})
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	err = r.Publish(ctx, []*wire.Object{
		{Kind: "database-group", Name: overloadBase, Body: fmt.Appendf(nil, `{"slots":["a","b","c"],"connections":%d}`, overloadConnections)},
		{Kind: "service", Name: "overload", Body: []byte(`{"groups":["overload-1"],"read-policy":"usual"}`)},
		{Kind: "read-policy", Name: "usual", Body: []byte(`{"replicas":true,"staleness-allowance":"usual"}`)},
		{Kind: "staleness-allowance", Name: "usual", Body: []byte(`{"milliseconds":5000}`)},
	})
	if err != nil {
		return nil, err
	}
	pause(ctx, settleTime)
	idle, err := connectAll(ctx, r)
	if err != nil {
		return nil, err
	}
	var steps []Step
	for _, load := range []float64{0.5, 1, 2, 5} {
		s := offer(ctx, idle, load, seed)
		progress(fmt.Sprintf("load %.1f: %d offered, %d good, %d not run, %d other a second", s.Load, s.Offered, s.Good, s.NotRun, s.Other))
		steps = append(steps, s)
		pause(ctx, time.Second)
	}
	return steps, nil
}

// connectAll logs the callers in, so that the load consists of statements only.
func connectAll(ctx context.Context, r *rig.Rig) (chan *pgx.Conn, error) {
	idle := make(chan *pgx.Conn, overloadCallers)
	addresses := r.CallerAddresses()
	for k := range overloadCallers {
		cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://user-%d@%s/%s?sslmode=disable", k%overloadUsers, addresses[k%len(addresses)], overloadBase))
		if err != nil {
			return nil, err
		}
		cfg.RuntimeParams["trefoil.deadline"] = fmt.Sprint(overloadDeadline.Milliseconds())
		cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
		conn, err := pgx.ConnectConfig(ctx, cfg)
		if err != nil {
			return nil, err
		}
		idle <- conn
	}
	return idle, nil
}

// offer sends requests at random times; one for which no caller is free counts as other.
func offer(ctx context.Context, idle chan *pgx.Conn, load float64, seed uint64) Step {
	random := rand.New(rand.NewPCG(seed, uint64(load*10)))
	rate := load * overloadWorkers / overloadStatement.Seconds()
	var offered, good, refused, other atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	next := began
	for next.Sub(began) < overloadStep && ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		pause(ctx, time.Until(next))
		offered.Add(1)
		select {
		case conn := <-idle:
			all.Go(func() {
				at := time.Now()
				_, err := conn.Exec(ctx, "SELECT body FROM ledger WHERE id = 'x'")
				v, _ := classify(err)
				switch {
				case v == acknowledged && time.Since(at) <= overloadDeadline:
					good.Add(1)
				case v == notRun:
					refused.Add(1)
				default:
					other.Add(1)
				}
				idle <- conn
			})
		default:
			other.Add(1)
		}
	}
	all.Wait()
	perSecond := func(n *atomic.Int64) int { return int(float64(n.Load()) / overloadStep.Seconds()) }
	return Step{Load: load, Offered: perSecond(&offered), Good: perSecond(&good), NotRun: perSecond(&refused), Other: perSecond(&other)}
}

// GoodputHeld reports whether the last and highest load left enough of the best goodput.
func GoodputHeld(steps []Step) bool {
	best := 0
	for _, s := range steps {
		best = max(best, s.Good)
	}
	last := steps[len(steps)-1]
	return float64(last.Good) >= goodputLimit*float64(best)
}
