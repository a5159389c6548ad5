package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a place in a database's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

type entry struct {
	at         position
	item, data string
	committed  time.Time
}

// service is a group of databases with a log each.
type service struct {
	name      string
	record    *record
	maxConns  int
	work      time.Duration
	databases []*database
	mu        sync.Mutex
	macs      uint64
	// quiet leaves the single statements out of the record.
	quiet bool
	// commits are all writes that were committed, by their data, and promotions are those that have taken effect.
	commits    map[string][]commit
	promotions []commit
	// promoteDelay is how long the platform takes for a call that arrives now; nil means promoteTime.
	promoteDelay func(id string) time.Duration
}

// promoteTime is how long a promote takes.
const promoteTime = 300 * time.Millisecond

// commit is a commit of a database, or a promotion, and when it took effect.
type commit struct {
	database string
	position position
	at       time.Duration
}

// run is one statement that a database has run.
type run struct {
	at            time.Duration
	database      string
	who, id, text string
	// log is what the database showed.
	log     []entry
	primary bool
}

// database is one database of a service. The mutex of the service guards its fields.
type database struct {
	service     *service
	id, address string
	zone        string
	listener    net.Listener
	primary     bool
	term        uint64
	log         []entry
	received    int
	applied     int
	lag         time.Duration
	deaf        bool
	conns       map[net.Conn]bool
	runs        []run
	state       string
	born        int64
	seq         uint64
	down        bool
	dark        bool
	shed        bool
	promotedAt  time.Time
}

func newService(name string, number, count, hosts int, r *record) (*service, error) {
	s := &service{name: name, record: r, maxConns: 44, work: 8 * time.Millisecond, commits: map[string][]commit{}}
	for i := range count {
		l, err := net.Listen("tcp", net.JoinHostPort(hostOf(hosts+i), "0"))
		if err != nil {
			return nil, err
		}
		d := &database{
			service: s, id: fmt.Sprintf("i-7f3a9%dc%d", number, i), address: l.Addr().String(), zone: fmt.Sprintf("zone-%c", 'a'+i%3), listener: l,
			primary: i == 0, term: 1, lag: 20 * time.Millisecond, conns: map[net.Conn]bool{}, state: "ready", born: time.Now().UnixMilli(),
		}
		s.databases = append(s.databases, d)
		go d.accept(l)
	}
	go s.replicate()
	return s, nil
}

func (s *service) stop() {
	for _, d := range s.databases {
		_ = d.listener.Close()
	}
}

// replicate hands commits on to the replicas that follow the primary with the highest term.
func (s *service) replicate() {
	for range time.Tick(5 * time.Millisecond) {
		s.mu.Lock()
		p := s.leader()
		for _, d := range s.databases {
			if d == p || p == nil || d.down || p.down || d.dark || p.dark {
				continue
			}
			if d.primary {
				if time.Since(p.promotedAt) < time.Second {
					continue
				}
				d.primary = false
			}
			if !d.deaf {
				d.follow(p)
			}
			for d.applied < len(d.log) && time.Since(d.log[d.applied].committed) >= d.lag {
				d.applied++
			}
		}
		s.mu.Unlock()
	}
}

// follow takes over the log of the primary; what the primary lacks is rolled back.
func (d *database) follow(p *database) {
	n := min(len(d.log), len(p.log))
	for n > 0 && d.log[n-1].at != p.log[n-1].at {
		n--
	}
	d.log = slices.Clip(append(slices.Clip(d.log[:n]), p.log[n:]...))
	d.applied = min(d.applied, n)
	d.term = p.term
}

// crash ends the database; it keeps its log.
func (d *database) crash() {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.down = true
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
}

// restart starts a database that has crashed, as a replica if another one was promoted.
func (d *database) restart() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.listener, d.down, d.born, d.seq = l, false, time.Now().UnixMilli(), 0
	if p := d.service.leader(); p != d {
		d.primary = false
	}
	go d.accept(l)
	return nil
}

func (s *service) leader() *database {
	var best *database
	for _, d := range s.databases {
		if d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// heartbeats reports the database to the nodes that serve control.
func (d *database) heartbeats(nodes []string, every time.Duration) {
	c := &caller{nodes: nodes, next: int(d.born) % len(nodes)}
	for {
		d.service.mu.Lock()
		d.seq++
		role := "replica"
		if d.primary {
			role = "primary"
		}
		body, _ := json.Marshal(object{
			"service": d.service.name, "addr": d.address, "zone": d.zone, "version": "v1", "slots": 3, "state": d.state, "cold_left_ms": 0,
			"db_role": role, "seq": d.seq, "born": d.born,
		})
		down := d.down || d.dark
		d.service.mu.Unlock()
		if !down {
			status, _, err := c.call(http.MethodPut, "/trefoilcourse/instances/"+d.id, body)
			if err != nil || status >= http.StatusMultipleChoices {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		for end := time.Now().Add(every); time.Now().Before(end) && !d.changedRole(role); {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// changedRole reports whether the database has another role than the one that it reported.
func (d *database) changedRole(reported string) bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.primary != (reported == "primary")
}

func (d *database) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// session is one connection to a database.
type session struct {
	database *database
	who      string
	state    string
	readOnly bool
	values   map[string]string
	prepared map[string]string
	pending  []entry
}

func (d *database) serve(conn net.Conn) {
	s := d.service
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(d.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	line, err := readMessage(reader)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	s.mu.Lock()
	full := len(d.conns) >= s.maxConns
	d.conns[conn] = true
	at := d.position()
	s.mu.Unlock()
	switch {
	case len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != s.name || len(fields) > 3 && fields[3] != d.id:
		_, _ = fmt.Fprint(conn, "ERROR MISROUTED "+d.id+"\r\n")
		return
	case full:
		_, _ = fmt.Fprint(conn, "ERROR CONNLIMIT "+d.id+"\r\n")
		return
	}
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", at)
	c := &session{database: d, who: fields[2], state: "I", values: map[string]string{}, prepared: map[string]string{}}
	for {
		line, err := readMessage(reader)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		for d.silent() {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := conn.Write([]byte(c.query(id, text))); err != nil {
			return
		}
	}
}

// silent reports whether the database answers nothing now.
func (d *database) silent() bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.dark && !d.down
}

func readMessage(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err == nil && !strings.HasSuffix(line, "\r\n") {
		err = errors.New("a line without CR LF")
	}
	return strings.TrimSuffix(line, "\r\n"), err
}

// position is that of the last applied commit.
func (d *database) position() position {
	n := d.applied
	if d.primary {
		n = len(d.log)
	}
	if n == 0 {
		return position{d.term, 0}
	}
	return d.log[n-1].at
}

func (d *database) receivedPosition() position {
	if len(d.log) == 0 {
		return position{d.term, 0}
	}
	return d.log[len(d.log)-1].at
}

// query runs one query and returns its whole answer.
func (c *session) query(id, text string) string {
	d := c.database
	s := d.service
	full := text
	word, rest, _ := strings.Cut(text, " ")
	if id != "-" {
		time.Sleep(s.work)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if word == "SINCE" {
		floor, statement, _ := strings.Cut(rest, " ")
		text = statement
		word, rest, _ = strings.Cut(text, " ")
		term, number, _ := strings.Cut(floor, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.ParseUint(number, 10, 64)
		if d.position().less(position{t, n}) {
			return c.fail("LAGGING")
		}
	}
	if d.shed {
		if !s.quiet {
			s.record.say("database %s answers BUSY, with the position -, to %s %q", d.id, id, text)
		}
		return "ERROR BUSY " + d.id + "\r\nREADY " + c.state + " -\r\n"
	}
	if d.down {
		return ""
	}
	if id != "-" {
		visible := d.log
		if !d.primary {
			visible = d.log[:d.applied]
		}
		d.runs = append(d.runs, run{s.record.now(), d.id, c.who, id, text, slices.Clip(visible), d.primary})
		if !s.quiet {
			s.record.say("database %s runs %s %q for %s, with its log at %s", d.id, id, full, c.who, d.position())
		}
	}
	switch word {
	case "STATUS":
		role := "replica"
		if d.primary {
			role = "primary"
		}
		return c.done("-", fmt.Sprintf("%s %d %s 0 0 0 %d", role, d.term, d.receivedPosition(), len(d.conns)))
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]string{}
		return c.done("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return c.done("-")
	case "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		c.prepared[name] = definition
		return c.done("-")
	case "STEPDOWN":
		if t, _ := strconv.ParseUint(rest, 10, 64); d.primary && d.term < t {
			d.primary = false
		}
		return c.done("-", fmt.Sprintf("replica %d %s 0 0 0 %d", d.term, d.receivedPosition(), len(d.conns)))
	case "BEGIN":
		c.readOnly = rest == "READ"
		if !c.readOnly && !d.primary {
			return c.fail("READONLY")
		}
		c.state, c.pending = "T", nil
		return c.done("-")
	case "ROLLBACK":
		c.state, c.pending = "I", nil
		return c.done("-")
	case "COMMIT":
		if len(c.pending) > 0 && !d.primary {
			c.state, c.pending = "I", nil
			return c.fail("READONLY")
		}
		for _, e := range c.pending {
			d.commit(e)
		}
		c.state, c.pending = "I", nil
		return c.done(d.mac())
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		definition, ok := c.prepared[name]
		if !ok {
			return c.fail("NOSTMT")
		}
		access, _, _ := strings.Cut(definition, " ")
		return c.access(access, arguments)
	case "READ", "WRITE":
		return c.access(word, rest)
	}
	return c.fail("MALFORMED")
}

func (c *session) access(word, arguments string) string {
	d := c.database
	item, data, _ := strings.Cut(arguments, " ")
	if word == "READ" {
		n := d.applied
		if d.primary {
			n = len(d.log)
		}
		value := "none"
		for _, e := range d.log[:n] {
			if e.item == item {
				value = e.data
			}
		}
		return c.done(d.mac(), value)
	}
	if !d.primary {
		return c.fail("READONLY")
	}
	if c.state == "T" {
		c.pending = append(c.pending, entry{item: item, data: data})
		return c.done(d.mac())
	}
	d.commit(entry{item: item, data: data})
	return c.done(d.mac())
}

func (d *database) commit(e entry) {
	e.at, e.committed = position{d.term, uint64(len(d.log)) + 1}, time.Now()
	d.log = append(slices.Clip(d.log), e)
	d.service.commits[e.data] = append(d.service.commits[e.data], commit{d.id, e.at, d.service.record.now()})
}

func (d *database) mac() string {
	d.service.macs++
	return fmt.Sprintf("%d.%x.%s", d.term, d.service.macs, d.id)
}

func (c *session) done(mac string, rows ...string) string {
	var b strings.Builder
	for _, row := range rows {
		b.WriteString("ROW " + row + "\r\n")
	}
	b.WriteString("COMPLETE " + mac + "\r\nREADY " + c.state + " " + c.database.position().String() + "\r\n")
	return b.String()
}

func (c *session) fail(code string) string {
	return "ERROR " + code + " " + c.database.id + "\r\nREADY " + c.state + " " + c.database.position().String() + "\r\n"
}

// promote has a database lead the next term, unless it leads already, and returns the status of the answer.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.leader()
	for _, d := range s.databases {
		if d.id != id || d == old {
			continue
		}
		if d.down || d.dark {
			s.record.say("platform: %s is not running", id)
			return http.StatusConflict
		}
		d.primary, d.term, d.applied, d.promotedAt = true, old.term+1, len(d.log), time.Now()
		s.promotions = append(s.promotions, commit{d.id, position{term: d.term}, s.record.now()})
		s.record.say("platform: %s leads term %d, with %d commits", id, d.term, len(d.log))
	}
	return http.StatusOK
}

// servePlatform answers promotion requests.
func servePlatform(services []*service, hosts int) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(hostOf(hosts), "0"))
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		k := slices.IndexFunc(services, func(s *service) bool { return s.name == body.Service })
		if k < 0 {
			w.WriteHeader(http.StatusConflict)
			return
		}
		s := services[k]
		delay := promoteTime
		if s.promoteDelay != nil {
			delay = s.promoteDelay(body.ID)
		}
		s.record.say("platform: %s asks to promote %s with token %s, which takes %v", r.Header.Get("Trefoilcourse-Lease-Holder"), body.ID,
			r.Header.Get("Trefoilcourse-Fence-Token"), delay)
		// The call has been read, and is carried out also if its sender leaves.
		status := make(chan int, 1)
		time.AfterFunc(delay, func() { status <- s.promote(body.ID) })
		w.WriteHeader(<-status)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}
