package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Slot is the place of one server in a group.
type Slot struct {
	Name          string
	FailureDomain string
	// Address is the host and port to listen at; port 0 picks one at the first start.
	Address string
}

// Group is a group of servers with one database; set the exported fields before Run.
type Group struct {
	// Name is the group's and its database's name.
	Name string
	// Slots are the servers' places; the first is the primary of term 1.
	Slots []Slot
	// ConnectDelay is what a new connection takes.
	ConnectDelay time.Duration
	// StatementDelay is what a statement takes.
	StatementDelay time.Duration
	// ReceiveLag and ReplayLag are the mean times until a replica has synced a record, and
	// until it has replayed it after that.
	ReceiveLag time.Duration
	ReplayLag  time.Duration
	// MaxConnections refuses more connections to the group; 0 refuses none.
	MaxConnections int
	// Announce is called once a second by each running server; nil announces nothing.
	Announce func(ctx context.Context, a Announcement)
	// Seed fixes the lags.
	Seed uint64

	log     ActivityLog
	mu      sync.Mutex
	random  *rand.Rand
	servers map[string]*Server
}

// Announcement is what a server says of itself, in the form that entry VMs accept.
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

// ActivityLog returns what the servers ran.
func (g *Group) ActivityLog() *ActivityLog { return &g.log }

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

// Run starts every server and stops them when ctx ends.
func (g *Group) Run(ctx context.Context) error {
	if err := g.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	g.Stop()
	return nil
}

// Start starts every server; they stop when ctx ends or Stop is called.
func (g *Group) Start(ctx context.Context) error {
	g.random = rand.New(rand.NewPCG(g.Seed, uint64(len(g.Name))))
	g.mu.Lock()
	g.servers = map[string]*Server{}
	for i, slot := range g.Slots {
		s := &Server{group: g, slot: slot, history: newHistory(), upstream: g.Slots[0].Name}
		s.history.term = 1
		if i == 0 {
			s.history.lead(1)
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

// Stop stops every server.
func (g *Group) Stop() {
	for _, slot := range g.Slots {
		g.Server(slot.Name).Kill()
	}
}

// slotAt returns the slot of the server that listens at address, or "".
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
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}
