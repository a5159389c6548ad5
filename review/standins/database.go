package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
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

// commit is one committed change.
type commit struct {
	term, number uint64
	// ids are those of the writes, changes their items and data.
	ids     []string
	changes [][2]string
}

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
}

// execution is one statement that ran.
type execution struct {
	id, text, database string
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

func (d *database) beat(control []string, stop chan struct{}) {
	c := newCaller()
	target, next := "", rand.IntN(len(control))
	wasDraining := false
	for {
		d.group.mu.Lock()
		d.seq++
		state, role := "ready", "replica"
		if d.draining {
			state = "draining"
		}
		if d.primary {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"service": d.group.name, "addr": d.addr, "zone": d.zone, "version": "v1", "slots": cap(d.slots), "state": state,
			"cold_left_ms": 0, "db_role": role, "seq": d.seq, "born": d.born,
		})
		d.group.mu.Unlock()
		for range control {
			address := target
			if address == "" {
				next++
				address = control[next%len(control)]
			}
			status, answer, err := c.call(http.MethodPut, address, "/trefoilcourse/instances/"+d.id, body)
			if err != nil || status/100 != 2 {
				target = ""
				continue
			}
			var reply struct {
				Address string `json:"heartbeat_addr"`
			}
			if json.Unmarshal(answer, &reply) == nil && reply.Address != "" {
				target = reply.Address
			}
			if state == "draining" && !wasDraining {
				wasDraining = true
				d.group.mu.Lock()
				d.drainAcked = time.Now()
				d.group.mu.Unlock()
				d.group.rec.say("%s: draining is acknowledged", d.id)
			}
			break
		}
		for end := time.Now().Add(heartbeatInterval); time.Now().Before(end); {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			// A change of role or state is reported immediately.
			d.group.mu.Lock()
			changed := (role == "primary") != d.primary || (state == "draining") != d.draining
			d.group.mu.Unlock()
			if changed {
				break
			}
		}
	}
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

// connection is the state of one connection to a database.
type connection struct {
	d        *database
	number   uint64
	out      *bufio.Writer
	state    byte
	readOnly bool
	wrote    commit
	prepared map[string]string
}

func (d *database) serve(c net.Conn, refused bool, number uint64) {
	reader := bufio.NewReader(c)
	k := &connection{d: d, number: number, out: bufio.NewWriter(c), state: 'I', prepared: map[string]string{}}
	line, err := reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	switch {
	case fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id:
		k.error("MISROUTED", d.id)
	case refused:
		k.error("CONNLIMIT", d.id)
	default:
		k.ready()
	}
	if k.out.Flush() != nil || fields[1] != d.group.name || refused {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		k.query(id, text)
		if d.dead() || k.out.Flush() != nil {
			return
		}
	}
}

func (d *database) dead() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return !d.alive
}

func (k *connection) error(code, message string) {
	fmt.Fprintf(k.out, "ERROR %s %s\r\n", code, message)
}

// ready ends an answer with the position that the log has reached.
func (k *connection) ready() {
	k.d.group.mu.Lock()
	position := k.d.position()
	k.d.group.mu.Unlock()
	fmt.Fprintf(k.out, "READY %c %s\r\n", k.state, position)
}

// position is what a primary has committed or a replica has applied; the group's mutex is held.
func (d *database) position() string { return positionAt(d.log, d.applied) }

func positionAt(log []commit, length int) string {
	if length == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", log[length-1].term, log[length-1].number)
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

// query runs one request; the answer is buffered.
func (k *connection) query(id, text string) {
	defer k.ready()
	if since, ok := strings.CutPrefix(text, "SINCE "); ok {
		var position string
		position, text, _ = strings.Cut(since, " ")
		if !k.d.reached(position) {
			k.error("LAGGING", k.d.id)
			return
		}
	}
	word, arguments, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		if !k.d.enter() {
			k.error("BUSY", k.d.id)
			return
		}
		k.status(word, arguments)
		k.d.leave()
	case "BEGIN":
		k.begin(arguments == "READ")
	case "ROLLBACK":
		k.state, k.wrote = 'I', commit{}
		k.complete("-")
	case "SET", "CLOSE":
		k.complete("-")
	case "RESET":
		k.prepared = map[string]string{}
		k.complete("-")
	case "PREPARE":
		name, definition, _ := strings.Cut(arguments, " ")
		k.prepared[name] = definition
		k.complete("-")
	case "EXECUTE":
		name, rest, _ := strings.Cut(arguments, " ")
		definition, ok := k.prepared[name]
		if !ok {
			k.error("NOSTMT", name)
			return
		}
		access, _, _ := strings.Cut(definition, " ")
		k.statement(id, text, access, rest)
	case "READ", "WRITE", "COMMIT":
		k.statement(id, text, word, arguments)
	default:
		k.error("MALFORMED", word)
	}
}

func (k *connection) complete(mac string) { fmt.Fprintf(k.out, "COMPLETE %s\r\n", mac) }

// reached reports whether the applied log has a position.
func (d *database) reached(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.applied == 0 {
		return false
	}
	last := d.log[d.applied-1]
	return last.term > term || last.term == term && last.number >= number
}

func (k *connection) status(word, arguments string) {
	d := k.d
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	var term uint64
	if word == "STEPDOWN" {
		if _, err := fmt.Sscanf(arguments, "%d", &term); err == nil && d.primary && term > d.term {
			d.primary = false
			d.group.rec.add("%s: steps down for term %d", d.id, term)
			d.group.replicate()
		}
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	fmt.Fprintf(k.out, "ROW %s %d %s 0 0 %d %d\r\n", role, d.term, positionAt(d.log, len(d.log)), d.busy-1, len(d.conns))
	k.complete("-")
}

func (k *connection) begin(readOnly bool) {
	k.d.group.mu.Lock()
	primary := k.d.primary
	k.d.group.mu.Unlock()
	switch {
	case k.state != 'I':
		k.error("MALFORMED", "a transaction is open")
	case !readOnly && !primary:
		k.error("READONLY", k.d.id)
	default:
		k.state, k.readOnly = 'T', readOnly
		k.complete("-")
	}
}

// statement runs a read, a write or a commit in a slot.
func (k *connection) statement(id, text, access, arguments string) {
	if k.state == 'E' {
		k.error("MALFORMED", "the transaction has failed")
		return
	}
	if !k.d.enter() {
		k.error("BUSY", k.d.id)
		return
	}
	defer k.d.leave()
	k.d.doWork()
	d, g := k.d, k.d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := !d.primary && (access == "WRITE" || k.state == 'T' && !k.readOnly && !(access == "COMMIT" && len(k.wrote.ids) == 0))
	if lost {
		if k.state == 'T' {
			k.state = 'E'
		}
		k.error("READONLY", d.id)
		return
	}
	g.rec.add("%s runs %s %s (connection %d)", d.id, id, shortened(text), k.number)
	switch access {
	case "READ":
		item, _, _ := strings.Cut(arguments, " ")
		fmt.Fprintf(k.out, "ROW %s=%s\r\n", item, d.values[item])
	case "WRITE":
		item, data, _ := strings.Cut(arguments, " ")
		k.wrote.ids = append(k.wrote.ids, id)
		k.wrote.changes = append(k.wrote.changes, [2]string{item, data})
		if k.state == 'I' && !d.commit(&k.wrote) {
			k.error("UNKNOWN", "not replicated")
			return
		}
	case "COMMIT":
		k.state = 'I'
		if len(k.wrote.ids) > 0 && !d.commit(&k.wrote) {
			k.error("UNKNOWN", "not replicated")
			return
		}
	}
	g.macs++
	mac := fmt.Sprintf("7.%x.%x", g.macs, rand.Uint64())
	g.executions[mac] = execution{id: id, text: text, database: d.id, connection: k.number}
	k.complete(mac)
}

func shortened(text string) string {
	if len(text) > 100 {
		return fmt.Sprintf("%q and %d bytes more", text[:100], len(text)-100)
	}
	return fmt.Sprintf("%q", text)
}

// commit appends a commit to the primary's log and waits until enough replicas have received it. The
// group's mutex is held, and released while it waits.
func (d *database) commit(c *commit) bool {
	next := *c
	*c = commit{}
	next.term, next.number = d.term, uint64(len(d.log)+1)
	d.log = append(d.log[:len(d.log):len(d.log)], next)
	d.applyUpTo(len(d.log))
	position := len(d.log)
	d.group.rec.add("%s commits %v at %d.%d", d.id, next.ids, next.term, next.number)
	if d.term < d.group.highestTerm {
		for _, id := range next.ids {
			d.group.stale[id] = d.id
		}
	}
	d.group.replicate()
	for d.alive && d.received(position, next) < d.group.sync {
		d.group.changed.Wait()
	}
	return d.alive
}

// received counts the replicas whose logs have a commit; the group's mutex is held.
func (d *database) received(position int, c commit) int {
	count := 0
	for _, r := range d.group.servers {
		if r != d && len(r.log) >= position && r.log[position-1].term == c.term {
			count++
		}
	}
	return count
}

// replicate sends the primary's log to its replicas; the group's mutex is held.
func (g *group) replicate() {
	var leader *database
	for _, d := range g.servers {
		if d.primary && d.alive && (leader == nil || d.term > leader.term) {
			leader = d
		}
	}
	if leader == nil {
		return
	}
	log, term := leader.log[:len(leader.log):len(leader.log)], leader.term
	for _, r := range g.servers {
		if r == leader || r.primary {
			continue
		}
		time.AfterFunc(networkDelay, func() { r.receive(log, term) })
	}
}

// receive takes over a longer log, or that of a later term.
func (d *database) receive(log []commit, term uint64) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if !d.alive || d.deaf || d.primary || term < d.term || term == d.term && len(log) <= len(d.log) {
		return
	}
	common := 0
	for common < len(d.log) && common < len(log) && d.log[common].term == log[common].term {
		common++
	}
	if common < d.applied {
		d.applied, d.values = 0, map[string]string{}
		d.log = log
		d.applyUpTo(common)
	}
	d.log, d.term = log, term
	d.group.changed.Broadcast()
	time.AfterFunc(applyDelay, func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if d.alive && d.term == term {
			d.applyUpTo(min(len(log), len(d.log)))
		}
	})
}

// applyUpTo applies the log up to a length; the group's mutex is held.
func (d *database) applyUpTo(length int) {
	for ; d.applied < length; d.applied++ {
		for _, change := range d.log[d.applied].changes {
			d.values[change[0]] = change[1]
		}
	}
}

// lead makes a database the primary of the next term with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.alive || d.primary {
		return
	}
	highest := uint64(0)
	for _, s := range g.servers {
		highest = max(highest, s.term)
	}
	d.primary, d.term = true, highest+1
	g.highestTerm = d.term
	d.applyUpTo(len(d.log))
	g.rec.say("%s leads term %d with %s", d.id, d.term, positionAt(d.log, len(d.log)))
	if g.promoted != nil {
		g.promoted(d, d.log)
	}
	for _, s := range g.servers {
		// The old primary continues until STEPDOWN, or until a second after it can reach the new one.
		if s != d && s.primary {
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if s.alive && s.primary && s.term < d.term {
					s.primary = false
					g.replicate()
				}
			})
		}
	}
	g.replicate()
}

// platform carries out promotes.
type platform struct {
	rec    *record
	groups map[string]*group
	server *http.Server
	// slowness is how long a call takes before it is carried out and answered.
	slowness atomic.Int64
}

// servePlatform listens for promotes.
func (f *fleet) servePlatform(groups ...*group) error {
	p := &platform{rec: f.rec, groups: map[string]*group{}}
	for _, g := range groups {
		p.groups[g.name] = g
	}
	l, err := net.Listen("tcp", f.promoteAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux}
	f.services = p
	go func() { _ = p.server.Serve(l) }()
	return nil
}

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.rec.say("the platform is asked by %s with %s to promote %s of %s", r.Header.Get("Trefoilcourse-Lease-Holder"), r.Header.Get("Trefoilcourse-Fence-Token"), body.ID, body.Service)
	if slowness := time.Duration(p.slowness.Load()); slowness > 0 {
		time.Sleep(slowness)
		p.rec.say("the platform carries out the promote of %s", body.ID)
	}
	g := p.groups[body.Service]
	if g == nil {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	for _, d := range g.servers {
		if d.id == body.ID {
			if d.dead() {
				break
			}
			time.AfterFunc(promoteDelay, func() { g.lead(d) })
			return
		}
	}
	http.Error(w, "not running", http.StatusConflict)
}
