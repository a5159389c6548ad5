package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/standin"
	"trefoilcourse/trefoil/internal/rig"
	"trefoilcourse/wire"
)

// EntrySlopes is what an entry VM costs as a front for callers and as an owner.
type EntrySlopes struct {
	// CallerMemory is the bytes that a caller with nothing under way costs.
	CallerMemory float64
	// Read and Write are processor time of one statement, from the caller's socket over an
	// entry VM and an owner to the backend server's and back, less what the client and the
	// server cost without a proxy.
	Read  time.Duration
	Write time.Duration
	// GroupIdle is processor time a second of owning one group with nothing to do, the
	// stand-in's part included; GroupMemory is the bytes.
	GroupIdle   time.Duration
	GroupMemory float64
	// EntryIdle is processor time a second of an entry VM that owns nothing, the control
	// leader's part included.
	EntryIdle time.Duration
}

const (
	idleCallers     = 3000
	statements      = 6000
	clients         = 8
	idleTime        = 4 * time.Second
	rigTimeout      = 2 * time.Minute
	fewGroups       = 2
	manyGroups      = 12
	fewEntries      = 3
	manyEntries     = 12
	settlePause     = 3 * time.Second
	benchmarkedBase = "ledger-0"
)

// MeasureEntry measures entry VMs in this process.
func MeasureEntry(ctx context.Context) (EntrySlopes, error) {
	ctx, cancel := context.WithTimeout(ctx, rigTimeout)
	defer cancel()
	var s EntrySlopes
	few, err := measureIdle(ctx, fewEntries, fewGroups, nil)
	if err != nil {
		return s, err
	}
	groups, err := measureIdle(ctx, fewEntries, manyGroups, nil)
	if err != nil {
		return s, err
	}
	const extra = (manyGroups - fewGroups) * ownersPerDatabase
	s.GroupIdle = (groups.cpu - few.cpu) / extra
	s.GroupMemory = float64(groups.memory-few.memory) / extra
	entries, err := measureIdle(ctx, manyEntries, fewGroups, func(r *rig.Rig) error { return s.measureCallers(ctx, r) })
	s.EntryIdle = (entries.cpu - few.cpu) / (manyEntries - fewEntries)
	return s, err
}

type idle struct {
	cpu    time.Duration
	memory int64
}

// measureIdle runs a rig with nothing to do and returns its processor time a second and its
// memory; then it calls more, if it is not nil.
func measureIdle(ctx context.Context, entries, groups int, more func(*rig.Rig) error) (idle, error) {
	folder, err := os.MkdirTemp("", "trefoil-capacity-")
	if err != nil {
		return idle{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	before := heap()
	plan := rig.Plan{Domains: []string{"d1", "d2", "d3"}, Controls: 1, Entries: entries, Plain: true, Folder: folder}
	var objects []*wire.Object
	for g := range groups {
		name := fmt.Sprintf("ledger-%d", g)
		plan.Groups = append(plan.Groups, &standin.Group{Name: name, Slots: []standin.Slot{
			{Name: "a", FailureDomain: "d1"}, {Name: "b", FailureDomain: "d2"}, {Name: "c", FailureDomain: "d3"},
		}})
		objects = append(objects, &wire.Object{Kind: "database-group", Name: name, Body: []byte(`{"slots":["a","b","c"],"connections":90,"acknowledge":"majority"}`)})
	}
	objects = append(objects,
		&wire.Object{Kind: "service", Name: "ledger", Body: []byte(`{"groups":["ledger-0"],"read-policy":"usual"}`)},
		&wire.Object{Kind: "read-policy", Name: "usual", Body: []byte(`{"replicas":true,"staleness-allowance":"usual"}`)},
		&wire.Object{Kind: "staleness-allowance", Name: "usual", Body: []byte(`{"milliseconds":1000}`)})
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return idle{}, err
	}
	defer r.Stop()
	if err := r.Publish(ctx, objects); err != nil {
		return idle{}, err
	}
	time.Sleep(settlePause)
	memory := int64(heap() - before)
	cpu := processorTime()
	time.Sleep(idleTime)
	measured := idle{cpu: time.Duration(float64(processorTime()-cpu) / idleTime.Seconds()), memory: memory}
	if more != nil {
		return measured, more(r)
	}
	return measured, nil
}

func (s *EntrySlopes) measureCallers(ctx context.Context, r *rig.Rig) error {
	address := r.CallerAddresses()[0]
	if err := s.measureIdleCallers(address); err != nil {
		return err
	}
	status, err := r.Operator().Status(ctx, 0)
	if err != nil {
		return err
	}
	for _, g := range status.GetGroups() {
		for _, server := range g.GetState().GetServers() {
			if g.GetState().GetGroup() == benchmarkedBase && server.GetSlot() == g.GetState().GetPrimarySlot() {
				return s.measureStatements(ctx, address, server.GetAddress())
			}
		}
	}
	return fmt.Errorf("database %q has no primary", benchmarkedBase)
}

// measureIdleCallers logs callers in that then do nothing.
func (s *EntrySlopes) measureIdleCallers(address string) error {
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "clerk", "database": benchmarkedBase}}
	packet, err := startup.Encode(nil)
	if err != nil {
		return err
	}
	before := heap()
	conns := make([]net.Conn, 0, idleCallers)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	answer := make([]byte, 4096)
	for range idleCallers {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		if _, err := conn.Write(packet); err != nil {
			return err
		}
		if _, err := conn.Read(answer); err != nil {
			return err
		}
	}
	s.CallerMemory = float64(heap()-before) / idleCallers
	return nil
}

// measureStatements runs statements through the proxy and straight to the server.
func (s *EntrySlopes) measureStatements(ctx context.Context, proxy, server string) error {
	read := func(c *pgx.Conn, _ string) error {
		var body string
		return c.QueryRow(ctx, "SELECT body FROM ledger WHERE id = $1", "row").Scan(&body)
	}
	write := func(c *pgx.Conn, id string) error {
		_, err := c.Exec(ctx, "INSERT INTO ledger (id, body) VALUES ($1, $2)", id, strings.Repeat("x", 64))
		return err
	}
	if _, err := perStatement(ctx, proxy, "warm", 1, func(c *pgx.Conn, _ string) error {
		_, err := c.Exec(ctx, "INSERT INTO ledger (id, body) VALUES ($1, $2)", "row", "hymn")
		return err
	}); err != nil {
		return err
	}
	costs := map[string]time.Duration{}
	for name, address := range map[string]string{"proxy": proxy, "server": server} {
		for kind, run := range map[string]func(*pgx.Conn, string) error{"read": read, "write": write} {
			cost, err := perStatement(ctx, address, name+kind, statements/clients, run)
			if err != nil {
				return err
			}
			costs[name+kind] = cost
		}
	}
	s.Read = costs["proxyread"] - costs["serverread"]
	s.Write = costs["proxywrite"] - costs["serverwrite"]
	return nil
}

// perStatement runs statements on several connections and returns processor time for each.
func perStatement(ctx context.Context, address, name string, each int, run func(*pgx.Conn, string) error) (time.Duration, error) {
	var all sync.WaitGroup
	errs := make(chan error, clients)
	cpu := processorTime()
	for k := range clients {
		if each == 1 && k > 0 {
			break
		}
		all.Go(func() {
			c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", address, benchmarkedBase))
			if err != nil {
				errs <- err
				return
			}
			defer func() { _ = c.Close(ctx) }()
			for i := range each {
				if err := run(c, fmt.Sprintf("%s-%d-%d", name, k, i)); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	all.Wait()
	close(errs)
	if err := <-errs; err != nil {
		return 0, err
	}
	return (processorTime() - cpu) / time.Duration(each*clients), nil
}
