package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Slot identifies one server of a group and its location.
type Slot struct {
	Name          string
	FailureDomain string
	// Address is the host and port to listen on; port 0 picks one at the first start.
	Address string
}

// Group is a group of servers with one database; set the exported fields before Start or Run.
type Group struct {
	// Name is the name of the group and its database.
	Name string
	// Slots lists the servers; the first is the primary of term 1.
	Slots []Slot
	// ConnectDelay is the time to establish a connection.
	ConnectDelay time.Duration
	// StatementDelay is the time to run a caller's statement.
	StatementDelay time.Duration
	// ReceiveLag and ReplayLag are the mean times until a replica has received and flushed a record,
	// and from then until it has replayed it.
	ReceiveLag time.Duration
	ReplayLag  time.Duration
	// MaxConnections limits the connections to the group; 0 means no limit.
	MaxConnections int
	// Announce is called about once a second by each running server, if not nil.
	Announce func(ctx context.Context, a Announcement)
	// Seed seeds the random lags.
	Seed uint64

	activity  ActivityLog
	mu        sync.Mutex
	lagRandom *rand.Rand
	servers   map[string]*Server
}

// Announcement is the status of a server in the format that entry VMs accept.
type Announcement struct {
	Group         string `json:"group"`
	Slot          string `json:"slot"`
	Incarnation   string `json:"incarnation"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Primary       bool   `json:"primary"`
	Term          uint64 `json:"term"`
	LogTerm       uint64 `json:"log-term"`
	Position      string `json:"position"`
	Leaving       bool   `json:"leaving"`
}

// ActivityLog returns the record of what the servers ran.
func (g *Group) ActivityLog() *ActivityLog { return &g.activity }

// Server returns the server in a slot.
func (g *Group) Server(slot string) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[slot]
}

// Primary returns the running primary with the highest term, or nil.
func (g *Group) Primary() *Server {
	var best *Server
	var bestTerm uint64
	for _, slot := range g.Slots {
		s := g.Server(slot.Name)
		term, primary := s.Role()
		if primary && s.Running() && term > bestTerm {
			best, bestTerm = s, term
		}
	}
	return best
}

// Run starts all servers and stops them when ctx ends.
func (g *Group) Run(ctx context.Context) error {
	if err := g.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	g.Stop()
	return nil
}

// Start starts all servers; they run until Stop is called or ctx ends.
func (g *Group) Start(ctx context.Context) error {
	g.lagRandom = rand.New(rand.NewPCG(g.Seed, uint64(len(g.Name))))
	g.mu.Lock()
	g.servers = map[string]*Server{}
	for i, slot := range g.Slots {
		s := &Server{group: g, slot: slot, storage: newStorage(), upstreamSlot: g.Slots[0].Name}
		s.storage.term = 1
		if i == 0 {
			s.storage.becomePrimary(1)
		}
		g.servers[slot.Name] = s
	}
	g.mu.Unlock()
	for _, slot := range g.Slots {
		if err := g.Server(slot.Name).Start(ctx); err != nil {
			return fmt.Errorf("slot %q: %w", slot.Name, err)
		}
	}
	return nil
}

// Stop stops all servers.
func (g *Group) Stop() {
	for _, slot := range g.Slots {
		g.Server(slot.Name).Kill()
	}
}

// slotAt returns the slot of the server that listens on address, or "".
func (g *Group) slotAt(address string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.servers {
		if s.Address() == address {
			return name
		}
	}
	return ""
}

func (g *Group) lag(mean time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.lagRandom.ExpFloat64() * float64(mean))
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}
