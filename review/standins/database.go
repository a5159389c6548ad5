package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// networkDelay is the time that a commit takes to a replica, applyDelay the time until it is applied.
	networkDelay = 1500 * time.Microsecond
	applyDelay   = 20 * time.Millisecond
	// promoteDelay is the time from a promote to the next term.
	promoteDelay = 300 * time.Millisecond
	maxConns     = 44
	// queueLimit is how many requests may wait for a slot before BUSY is answered.
	queueLimit = 24
)

// group is the databases of one service.
type group struct {
	name string
	// sync is the number of replicas that must have received a commit before it is acknowledged.
	sync int
	rec  *record
	// work is how long a statement takes.
	work time.Duration

	mu      sync.Mutex
	changed *sync.Cond
	servers []*database
	// executions are the statements that ran, by MAC.
	executions map[string]execution
	macs       uint64
	// promoted is called with a database that has just begun to lead a term.
	promoted func(d *database, log []commit)
	// highestTerm is the newest term that any database leads; stale are the ids of writes that were
	// committed by a primary of an older term.
	highestTerm uint64
	stale       map[string]string
	// stutters is set while the databases repeat some of their answers; repeated counts those.
	stutters atomic.Bool
	repeated atomic.Int64
	// refuses is set while the databases answer some statements with BUSY.
	refuses atomic.Bool
}

// execution is one statement that ran.
type execution struct {
	id, text, database string
	rows               []string
	connection         uint64
}

func newGroup(rec *record, name string, syncReplicas int, work time.Duration) *group {
	g := &group{name: name, sync: syncReplicas, rec: rec, work: work, executions: map[string]execution{}, stale: map[string]string{}}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// database is one database. The fields below group are guarded by the group's mutex.
type database struct {
	group *group
	id    string
	addr  string
	zone  string
	slots chan struct{}

	listener net.Listener
	conns    map[net.Conn]bool
	alive    bool
	draining bool
	// deaf is set while the database receives nothing from the primary.
	deaf    bool
	primary bool
	term    uint64
	log     []commit
	applied int
	values  map[string]string
	born    int64
	seq     int
	waiting int
	busy    int
	factor  int
	nextTx  uint64
	// drainAcked is when the system acknowledged that this database is draining.
	drainAcked time.Time
	stopBeats  chan struct{}
}

// add creates a database; the first one of a group is its primary.
func (g *group) add(id, addr, zone string) *database {
	d := &database{group: g, id: id, addr: addr, zone: zone, slots: make(chan struct{}, 3), conns: map[net.Conn]bool{}, values: map[string]string{}, term: 1, factor: 1}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.primary = len(g.servers) == 0
	g.servers = append(g.servers, d)
	return d
}

// start listens, serves and sends heartbeats to the nodes that serve control.
func (d *database) start(control []string) error {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	d.listener, d.alive, d.stopBeats = l, true, make(chan struct{})
	d.born, d.seq = time.Now().UnixMilli(), 0
	stop := d.stopBeats
	d.group.mu.Unlock()
	go d.accept(l)
	go d.beat(control, stop)
	return nil
}

// crash ends the database's process.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if !d.alive {
		return
	}
	d.alive = false
	close(d.stopBeats)
	_ = d.listener.Close()
	for c := range d.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	d.conns = map[net.Conn]bool{}
	d.group.changed.Broadcast()
}

// comeBack starts a crashed database again, with its log, and as a replica if another was promoted. It has a
// new id, since a database under its old one would know nothing of before.
func (d *database) comeBack(control []string) error {
	d.group.mu.Lock()
	if d.group.highestTerm > d.term {
		d.primary = false
	}
	old := d.id
	d.id = fmt.Sprintf("i-%08x", rand.Uint32())
	d.group.mu.Unlock()
	d.group.rec.say("%s comes back with its log as %s", old, d.id)
	if err := d.start(control); err != nil {
		return err
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.group.replicate()
	return nil
}

// drain reports that the database leaves.
func (d *database) drain() {
	d.group.mu.Lock()
	d.draining = true
	d.group.mu.Unlock()
}

// setDeaf sets whether the database receives nothing.
func (d *database) setDeaf(deaf bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.deaf = deaf
	if !deaf {
		d.group.replicate()
	}
}

// setFactor sets how many times as long the database's work takes.
func (d *database) setFactor(factor int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.factor = factor
}

func (d *database) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		refused := len(d.conns) >= maxConns
		d.conns[c] = true
		d.nextTx++
		number := d.nextTx
		d.group.mu.Unlock()
		go func() {
			defer func() {
				d.group.mu.Lock()
				delete(d.conns, c)
				d.group.mu.Unlock()
				_ = c.Close()
			}()
			d.serve(c, refused, number)
		}()
	}
}

func (d *database) dead() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return !d.alive
}

// enter takes a slot, or reports that too many requests wait.
func (d *database) enter() bool {
	d.group.mu.Lock()
	if d.waiting >= queueLimit {
		d.group.mu.Unlock()
		return false
	}
	d.waiting++
	d.group.mu.Unlock()
	d.slots <- struct{}{}
	d.group.mu.Lock()
	d.waiting--
	d.busy++
	d.group.mu.Unlock()
	return true
}

func (d *database) leave() {
	<-d.slots
	d.group.mu.Lock()
	d.busy--
	d.group.mu.Unlock()
}

func (d *database) doWork() {
	d.group.mu.Lock()
	work := d.group.work * time.Duration(d.factor)
	d.group.mu.Unlock()
	time.Sleep(work)
}
