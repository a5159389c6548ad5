package leader_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/leader"
	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/state"
	"trefoilcourse/coord/watch"
	"trefoilcourse/wire"
)

const (
	tick         = 10 * time.Millisecond
	groupName    = "g"
	limit        = 30
	controlShare = 3
	renewEvery   = 500 * time.Millisecond
	pollEvery    = 20 * time.Millisecond
)

// record is one write in a server's log; its offset is its place, counted from one.
type record struct {
	term uint64
	id   int
}

// server is a fake backend server.
type server struct {
	slot        string
	incarnation int
	up          bool
	term        uint64
	primary     bool
	start       uint64
	log         []record
	replayed    int
	follows     string
	leaving     bool
}

func (s *server) end() session.Position {
	if len(s.log) == 0 {
		return session.Position{}
	}
	return session.Position{Term: s.log[len(s.log)-1].term, Offset: uint64(len(s.log))}
}

// owner is a fake entry VM: the library's lease holder and watch, and connections that it opens
// as it may and closes late.
type owner struct {
	vm       string
	domain   string
	up       bool
	rate     float64
	holder   lease.Holder
	watch    watch.Watch
	state    *wire.GroupState
	epoch    uint64
	revision uint64
	version  uint64
	sequence uint64
	life     int
	open     int
	nextAsk  time.Time
	nextPoll time.Time
	writes   map[uint64]*write
	floors   map[uint64]time.Time
}

type write struct {
	id   int
	term uint64
}

type event struct {
	due time.Time
	run func()
}

// world drives everything in virtual time.
type world struct {
	now     time.Time
	began   time.Time
	random  *rand.Rand
	machine *state.Machine
	leader  *leader.Leader
	term    uint64
	leading bool
	servers map[string]*server
	slots   []string
	owners  []*owner
	events  []event
	cut     map[[2]string]bool
	loss    float64
	lastID  int
	acked   map[int]session.Position
	written map[int]session.Position
	ackedAt map[int]time.Time
	faults  []string
	lastAck time.Time
}

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), began: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 3)),
		machine: state.New(), servers: map[string]*server{}, slots: []string{"a", "b", "c"},
		cut: map[[2]string]bool{}, acked: map[int]session.Position{}, written: map[int]session.Position{}, ackedAt: map[int]time.Time{},
	}
	w.publish()
	for i, slot := range w.slots {
		s := &server{slot: slot, up: true, term: 1, follows: "a"}
		if i == 0 {
			s.lead(1)
		}
		w.servers[slot] = s
	}
	for i := range 5 {
		w.owners = append(w.owners, &owner{
			vm: fmt.Sprintf("e%d", i), domain: fmt.Sprintf("d%d", i%3), up: true,
			rate: 1 + (w.random.Float64()-0.5)*0.018, writes: map[uint64]*write{}, floors: map[uint64]time.Time{},
		})
	}
	w.newLeader()
	return w
}

func (w *world) publish() {
	command := &wire.Command{Publish: &wire.PublishRequest{Id: "first", Objects: []*wire.Object{{
		Kind: "database-group", Name: groupName, Body: fmt.Appendf(nil, `{"slots":["a","b","c"],"connections":%d}`, limit),
	}}}}
	data, _ := proto.Marshal(command)
	_, _ = w.machine.Apply(data)
}

func (w *world) newLeader() {
	w.term++
	w.leader = &leader.Leader{State: w.machine}
	w.leader.StartTerm(w.now, w.term)
	w.leading = true
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(w.began))+fmt.Sprintf(format, args...))
}

// after runs f between two places after a network delay, unless the message is lost.
func (w *world) after(from, to string, f func()) {
	if w.cut[[2]string{from, to}] || w.random.Float64() < w.loss {
		return
	}
	delay := time.Duration(w.random.IntN(8)) * time.Millisecond
	if w.random.Float64() < w.loss {
		delay = time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	w.events = append(w.events, event{w.now.Add(delay), f})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.due.After(w.now) {
				w.events = append(w.events, e)
			} else {
				e.run()
			}
		}
		w.replicate()
		for _, o := range w.owners {
			if o.up {
				w.tickOwner(o)
			}
		}
		if w.leading {
			for _, a := range w.leader.Tick(w.now) {
				w.act(a)
			}
		}
		w.checkConnections()
	}
}

func (s *server) lead(term uint64) {
	if term < s.term || s.primary && s.term == term {
		return
	}
	s.term, s.primary, s.replayed = term, true, len(s.log)
	s.log = append(s.log, record{term: term})
	s.start = uint64(len(s.log))
	s.replayed = len(s.log)
}

// replicate lets each replica copy some of its primary's log, and replay some of that.
func (w *world) replicate() {
	for _, s := range w.servers {
		up := w.servers[s.follows]
		connected := s.up && up.up && !w.cut[[2]string{s.slot, up.slot}] && !w.cut[[2]string{up.slot, s.slot}]
		if s.primary || !connected || !up.primary || up.term != s.term || w.random.IntN(3) > 0 {
			continue
		}
		same := 0
		for same < len(s.log) && same < len(up.log) && s.log[same] == up.log[same] {
			same++
		}
		if same < len(s.log) {
			s.log = s.log[:same]
			s.replayed = min(s.replayed, same)
		}
		take := min(len(up.log)-same, 1+w.random.IntN(5))
		s.log = append(s.log, up.log[same:same+take]...)
		s.replayed += w.random.IntN(len(s.log) - s.replayed + 1)
	}
}

// act carries out a decision of the leader.
func (w *world) act(a leader.Action) {
	place := "control"
	switch {
	case a.Record != nil:
		data, _ := proto.Marshal(leader.Record(groupName, a.Record))
		if w.random.Float64() >= w.loss {
			_, _ = w.machine.Apply(data)
		}
	case a.Query != nil:
		for _, slot := range a.Query {
			w.query(slot, w.leader)
		}
	case a.Promote != nil:
		p := *a.Promote
		s := w.servers[p.Slot]
		w.after(place, p.Slot, func() {
			if s.up && p.Incarnations[p.Slot] == fmt.Sprint(s.incarnation) {
				s.lead(p.Term)
			}
		})
	case a.Follow != "":
		s := w.servers[a.Follow]
		p := w.leader.Primary(groupName)
		w.after(place, a.Follow, func() {
			if s.up && p.Term >= s.term && p.Slot != s.slot {
				s.term, s.primary, s.follows = p.Term, false, p.Slot
			}
		})
	}
}

func (w *world) query(slot string, l *leader.Leader) {
	asked := w.now
	s := w.servers[slot]
	w.after("control", slot, func() {
		if !s.up {
			return
		}
		status := promote.Status{
			Slot: slot, Incarnation: fmt.Sprint(s.incarnation), Primary: s.primary, Term: s.term,
			Position: s.end(), Followed: w.followers(s) >= 2, Asked: asked,
		}
		w.after(slot, "control", func() { l.Answer(groupName, status) })
	})
}

func (w *world) followers(s *server) int {
	count := 1
	for _, f := range w.servers {
		if f != s && f.up && !f.primary && f.follows == s.slot && f.term == s.term && !w.cut[[2]string{f.slot, s.slot}] && !w.cut[[2]string{s.slot, f.slot}] {
			count++
		}
	}
	return count
}

// clock is the owner's own, which runs a little fast or slow.
func (w *world) clock(o *owner) time.Time {
	return w.began.Add(time.Duration(float64(w.now.Sub(w.began)) * o.rate))
}

func (w *world) tickOwner(o *owner) {
	now := w.clock(o)
	allowed := o.holder.Connections(now, groupName)
	held := now.Before(o.holder.Expiry(groupName))
	switch {
	case !held:
		o.open = 0
	case o.open < allowed:
		o.open = allowed
	case o.open > allowed && w.random.IntN(20) == 0:
		o.open--
	}
	w.endWrites(o, o.watch.Superseded(o.holder.Term(now, groupName)))
	if !w.now.Before(o.nextAsk) {
		w.renew(o)
	}
	if held && !w.now.Before(o.nextPoll) {
		o.nextPoll = w.now.Add(pollEvery)
		w.poll(o)
	}
	if held {
		w.judge(o, now)
	}
}

func (w *world) judge(o *owner, now time.Time) {
	health, changed := o.watch.Judge(now)
	switch {
	case !changed || health == watch.Unknown:
	case health == watch.Good:
		o.holder.Restore(groupName)
	default:
		o.holder.Release(groupName, o.watch.Term())
		o.nextAsk = w.now
	}
}

func (w *world) renew(o *owner) {
	now := w.clock(o)
	o.nextAsk = w.now.Add(renewEvery)
	if o.holder.Term(now, groupName) == 0 {
		o.nextAsk = w.now.Add(renewEvery / 5)
	}
	o.sequence++
	request := &wire.RenewRequest{
		Vm: o.vm, Incarnation: fmt.Sprint(o.life), FailureDomain: o.domain, Sequence: o.sequence,
		ConfigurationVersion: o.version, DirectoryEpoch: o.epoch, DirectoryRevision: o.revision,
	}
	if now.Before(o.holder.Expiry(groupName)) {
		request.Holdings = []*wire.Holding{{
			Group: groupName, Term: o.holder.Term(now, groupName),
			Connections: uint32(max(o.open, o.holder.Connections(now, groupName))),
		}}
		health := map[watch.Health]wire.PrimaryHealth{watch.Good: 1, watch.Unreachable: 2, watch.Stalled: 3}[o.watch.Health()]
		request.Observations = []*wire.Observation{{Group: groupName, Term: o.watch.Term(), Health: health}}
	}
	for _, s := range w.servers {
		if s.up && w.random.IntN(3) == 0 {
			request.Announcements = append(request.Announcements, &wire.Announcement{
				Group: groupName, Slot: s.slot, Incarnation: fmt.Sprint(s.incarnation), Address: s.slot,
				Primary: s.primary, Term: s.term, Position: s.end().Wire(), Leaving: s.leaving,
			})
		}
	}
	life, sequence := o.life, o.sequence
	w.after(o.vm, "control", func() {
		if !w.leading {
			return
		}
		response := w.leader.Renew(w.now, request)
		w.after("control", o.vm, func() {
			if o.up && o.life == life && o.sequence == sequence && response.GetAccepted() {
				w.answered(o, now, response)
			}
		})
	})
}

func (w *world) answered(o *owner, asked time.Time, r *wire.RenewResponse) {
	grants := map[string]lease.Grant{}
	for _, g := range r.GetGrants() {
		grants[g.GetGroup()] = lease.Grant{Term: g.GetTerm(), Connections: int(g.GetConnections())}
	}
	if !o.holder.Answered(asked, r.GetControlTerm(), time.Duration(r.GetLeaseMilliseconds())*time.Millisecond, grants) {
		return
	}
	o.version = r.GetConfigurationVersion()
	if r.GetDirectoryEpoch() == 0 {
		return
	}
	o.epoch, o.revision = r.GetDirectoryEpoch(), r.GetDirectoryRevision()
	for _, g := range r.GetGroups() {
		o.state = g
		o.watch.Start(w.clock(o), g.GetTerm())
	}
}

func (w *world) poll(o *owner) {
	slot := o.state.GetPrimarySlot()
	term := o.state.GetTerm()
	s := w.servers[slot]
	if s == nil {
		return
	}
	report := watch.Report{Asked: w.clock(o)}
	life := o.life
	w.after(o.vm, slot, func() {
		if !s.up || !s.primary || s.term != term {
			return
		}
		report.Leads = true
		report.Position = session.Position{Term: s.term, Offset: uint64(len(s.log))}
		for _, f := range w.servers {
			if f != s && f.up && f.follows == slot && f.term == term && sameStart(f.log, s.log) {
				report.Replicas = append(report.Replicas, watch.Replica{Slot: f.slot, Incarnation: fmt.Sprint(f.incarnation), Flushed: uint64(len(f.log))})
			}
		}
		w.after(slot, o.vm, func() {
			if o.up && o.life == life && o.watch.Term() == term {
				w.endWrites(o, o.watch.Learn(w.clock(o), report, o.counted(w.clock(o))))
			}
		})
	})
}

func sameStart(a, b []record) bool {
	for i := range a {
		if i >= len(b) || a[i] != b[i] {
			return false
		}
	}
	return true
}

func (o *owner) counted(now time.Time) watch.Group {
	g := watch.Group{
		Slots: 3, Primary: o.state.GetPrimarySlot(), Admitted: map[string]string{},
		Leased: o.holder.Term(now, groupName) == o.watch.Term(),
	}
	for _, s := range o.state.GetServers() {
		if s.GetAdmitted() {
			g.Admitted[s.GetSlot()] = s.GetIncarnation()
		}
	}
	return g
}

// write sends a caller's write through an owner that may acknowledge it.
func (w *world) write(o *owner) {
	term := o.holder.Term(w.clock(o), groupName)
	if !o.up || term == 0 || term != o.state.GetTerm() {
		return
	}
	w.lastID++
	id := w.lastID
	slot := o.state.GetPrimarySlot()
	s := w.servers[slot]
	life := o.life
	w.after(o.vm, slot, func() {
		if !s.up || !s.primary || s.term != term {
			return
		}
		s.log = append(s.log, record{term, id})
		w.written[id] = s.end()
		s.replayed = len(s.log)
		w.after(slot, o.vm, func() {
			if o.up && o.life == life {
				o.writes[o.watch.Await(w.clock(o), term, true)] = &write{id, term}
			}
		})
	})
}

func (w *world) endWrites(o *owner, ended []watch.Done) {
	for _, d := range ended {
		w.checkConservative(o, d)
		wr := o.writes[d.ID]
		delete(o.writes, d.ID)
		if wr == nil || d.Superseded || o.holder.Term(w.clock(o), groupName) != wr.term {
			continue
		}
		w.acked[wr.id] = d.Position
		w.ackedAt[wr.id] = w.now
		w.lastAck = w.now
		if recorded := w.machine.Primary(groupName).GetTerm(); recorded > wr.term {
			w.fail("%s acknowledged write %d in term %d when term %d was recorded", o.vm, wr.id, wr.term, recorded)
		}
	}
}

// ask begins a session that nothing is known of.
func (w *world) ask(o *owner) {
	if o.up && w.clock(o).Before(o.holder.Expiry(groupName)) {
		o.floors[o.watch.Await(w.clock(o), 0, false)] = w.now
	}
}

// checkConservative checks that the floor of a session that nothing is known of covers all that
// was acknowledged when it began, by whichever owner.
func (w *world) checkConservative(o *owner, d watch.Done) {
	began, ok := o.floors[d.ID]
	delete(o.floors, d.ID)
	if !ok || d.Superseded {
		return
	}
	for id, at := range w.ackedAt {
		if at.Before(began) && d.Acknowledged.Less(w.written[id]) {
			w.fail("%s gave the floor %v to a session that began after write %d at %v was acknowledged", o.vm, d.Acknowledged, id, w.written[id])
		}
	}
}

// checkConnections checks the limit, with what control itself may open.
func (w *world) checkConnections() {
	open := controlShare
	for _, o := range w.owners {
		if o.up {
			open += o.open
		}
	}
	if open > limit {
		w.fail("%d connections are open; the limit is %d", open, limit)
	}
}

// checkFloors checks that a server which shows a write's floor has the write.
func (w *world) checkFloors() {
	for id, floor := range w.acked {
		for _, s := range w.servers {
			if s.replayed == 0 {
				continue
			}
			shown := session.Position{Term: s.log[s.replayed-1].term, Offset: uint64(s.replayed)}
			if !shown.Less(floor) && !has(s.log[:s.replayed], id) {
				w.fail("server %s shows %v, the floor of write %d is %v, and it lacks the write", s.slot, shown, id, floor)
			}
		}
	}
}

func has(log []record, id int) bool {
	for _, r := range log {
		if r.id == id {
			return true
		}
	}
	return false
}

func itoa(n int) string { return fmt.Sprint(n) }
