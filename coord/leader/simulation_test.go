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
	tickInterval       = 10 * time.Millisecond
	groupName          = "g"
	connectionLimit    = 30
	controlConnections = 3
	renewInterval      = 500 * time.Millisecond
	pollInterval       = 20 * time.Millisecond
)

// record is one write in a server's log; its offset is its index, counted from one.
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
	termStart   uint64
	log         []record
	replayed    int
	follows     string
	leaving     bool
}

func (s *server) lastPosition() session.Position {
	if len(s.log) == 0 {
		return session.Position{}
	}
	return session.Position{Term: s.log[len(s.log)-1].term, Offset: uint64(len(s.log))}
}

// owner is a fake entry VM: it uses the real lease holder and watch, opens as many connections as
// it is granted and closes them late.
type owner struct {
	vm              string
	domain          string
	up              bool
	clockRate       float64
	holder          lease.Holder
	watch           watch.PrimaryWatcher
	state           *wire.GroupState
	epoch           uint64
	revision        uint64
	version         uint64
	sequence        uint64
	generation      int
	openConnections int
	nextRenewal     time.Time
	nextPoll        time.Time
	writes          map[uint64]*write
	sessionStarts   map[uint64]time.Time
}

// write is a write that waits for its acknowledgment.
type write struct {
	id   int
	term uint64
}

// event is a message that is delivered when it is due.
type event struct {
	due time.Time
	run func()
}

// simulation runs owners, the control leader and backend servers in virtual time.
type simulation struct {
	now                time.Time
	startTime          time.Time
	random             *rand.Rand
	machine            *state.Machine
	leader             *leader.Leader
	term               uint64
	leading            bool
	servers            map[string]*server
	slots              []string
	owners             []*owner
	events             []event
	blocked            map[[2]string]bool
	lossRate           float64
	lastID             int
	acknowledged       map[int]session.Position
	writtenAt          map[int]session.Position
	acknowledgedAt     map[int]time.Time
	violations         []string
	lastAcknowledgment time.Time
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		now: time.Unix(1000, 0), startTime: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 3)),
		machine: state.New(), servers: map[string]*server{}, slots: []string{"a", "b", "c"},
		blocked: map[[2]string]bool{}, acknowledged: map[int]session.Position{}, writtenAt: map[int]session.Position{}, acknowledgedAt: map[int]time.Time{},
	}
	w.publish()
	for i, slot := range w.slots {
		s := &server{slot: slot, up: true, term: 1, follows: "a"}
		if i == 0 {
			s.becomePrimary(1)
		}
		w.servers[slot] = s
	}
	for i := range 5 {
		w.owners = append(w.owners, &owner{
			vm: fmt.Sprintf("e%d", i), domain: fmt.Sprintf("d%d", i%3), up: true,
			clockRate: 1 + (w.random.Float64()-0.5)*0.018, writes: map[uint64]*write{}, sessionStarts: map[uint64]time.Time{},
		})
	}
	w.newLeader()
	return w
}

func (w *simulation) publish() {
	command := &wire.Command{Publish: &wire.PublishRequest{Id: "first", Objects: []*wire.Object{{
		Kind: "database-group", Name: groupName, Body: fmt.Appendf(nil, `{"slots":["a","b","c"],"connections":%d}`, connectionLimit),
	}}}}
	data, _ := proto.Marshal(command)
	_, _ = w.machine.Apply(data)
}

func (w *simulation) newLeader() {
	w.term++
	w.leader = &leader.Leader{State: w.machine}
	w.leader.StartTerm(w.now, w.term)
	w.leading = true
}

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(w.startTime))+fmt.Sprintf(format, args...))
}

// send runs f after a network delay, unless the link between the nodes is blocked or the message is
// lost.
func (w *simulation) send(from, to string, f func()) {
	if w.blocked[[2]string{from, to}] || w.random.Float64() < w.lossRate {
		return
	}
	delay := time.Duration(w.random.IntN(8)) * time.Millisecond
	if w.random.Float64() < w.lossRate {
		delay = time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	w.events = append(w.events, event{w.now.Add(delay), f})
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickInterval)
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
				w.applyAction(a)
			}
		}
		w.checkConnections()
	}
}

func (s *server) becomePrimary(term uint64) {
	if term < s.term || s.primary && s.term == term {
		return
	}
	s.term, s.primary, s.replayed = term, true, len(s.log)
	s.log = append(s.log, record{term: term})
	s.termStart = uint64(len(s.log))
	s.replayed = len(s.log)
}

// replicate has each connected replica copy a part of its primary's log and replay a part of that.
func (w *simulation) replicate() {
	for _, s := range w.servers {
		up := w.servers[s.follows]
		connected := s.up && up.up && !w.blocked[[2]string{s.slot, up.slot}] && !w.blocked[[2]string{up.slot, s.slot}]
		if s.primary || !connected || !up.primary || up.term != s.term || w.random.IntN(3) > 0 {
			continue
		}
		commonLength := 0
		for commonLength < len(s.log) && commonLength < len(up.log) && s.log[commonLength] == up.log[commonLength] {
			commonLength++
		}
		if commonLength < len(s.log) {
			s.log = s.log[:commonLength]
			s.replayed = min(s.replayed, commonLength)
		}
		copied := min(len(up.log)-commonLength, 1+w.random.IntN(5))
		s.log = append(s.log, up.log[commonLength:commonLength+copied]...)
		s.replayed += w.random.IntN(len(s.log) - s.replayed + 1)
	}
}

// applyAction carries out an action of the leader.
func (w *simulation) applyAction(a leader.Action) {
	node := "control"
	switch {
	case a.Record != nil:
		data, _ := proto.Marshal(leader.RecordCommand(groupName, a.Record))
		if w.random.Float64() >= w.lossRate {
			_, _ = w.machine.Apply(data)
		}
	case a.Query != nil:
		for _, slot := range a.Query {
			w.query(slot, w.leader)
		}
	case a.Promote != nil:
		p := *a.Promote
		s := w.servers[p.Slot]
		w.send(node, p.Slot, func() {
			if s.up && p.Incarnations[p.Slot] == fmt.Sprint(s.incarnation) {
				s.becomePrimary(p.Term)
			}
		})
	case a.Follow != "":
		s := w.servers[a.Follow]
		p := w.leader.Primary(groupName)
		w.send(node, a.Follow, func() {
			if s.up && p.Term >= s.term && p.Slot != s.slot {
				s.term, s.primary, s.follows = p.Term, false, p.Slot
			}
		})
	}
}

func (w *simulation) query(slot string, l *leader.Leader) {
	asked := w.now
	s := w.servers[slot]
	w.send("control", slot, func() {
		if !s.up {
			return
		}
		status := promote.Status{
			Slot: slot, Incarnation: fmt.Sprint(s.incarnation), Primary: s.primary, Term: s.term,
			Position: s.lastPosition(), HasMajority: w.connectedSlots(s) >= 2, QueriedAt: asked,
		}
		w.send(slot, "control", func() { l.ReceiveStatus(groupName, status) })
	})
}

func (w *simulation) connectedSlots(s *server) int {
	count := 1
	for _, f := range w.servers {
		if f != s && f.up && !f.primary && f.follows == s.slot && f.term == s.term && !w.blocked[[2]string{f.slot, s.slot}] && !w.blocked[[2]string{s.slot, f.slot}] {
			count++
		}
	}
	return count
}

// clock returns the time on the owner's clock, which runs slightly fast or slow.
func (w *simulation) clock(o *owner) time.Time {
	return w.startTime.Add(time.Duration(float64(w.now.Sub(w.startTime)) * o.clockRate))
}

func (w *simulation) tickOwner(o *owner) {
	now := w.clock(o)
	allowed := o.holder.Connections(now, groupName)
	held := now.Before(o.holder.Expiry(groupName))
	switch {
	case !held:
		o.openConnections = 0
	case o.openConnections < allowed:
		o.openConnections = allowed
	case o.openConnections > allowed && w.random.IntN(20) == 0:
		o.openConnections--
	}
	w.completeWrites(o, o.watch.EndSupersededWaits(o.holder.Term(now, groupName)))
	if !w.now.Before(o.nextRenewal) {
		w.renew(o)
	}
	if held && !w.now.Before(o.nextPoll) {
		o.nextPoll = w.now.Add(pollInterval)
		w.poll(o)
	}
	if held {
		w.updateHealth(o, now)
	}
}

func (w *simulation) updateHealth(o *owner, now time.Time) {
	health, changed := o.watch.Evaluate(now)
	switch {
	case !changed || health == watch.Unknown:
	case health == watch.Good:
		o.holder.Restore(groupName)
	default:
		o.holder.Release(groupName, o.watch.Term())
		o.nextRenewal = w.now
	}
}

func (w *simulation) renew(o *owner) {
	now := w.clock(o)
	o.nextRenewal = w.now.Add(renewInterval)
	if o.holder.Term(now, groupName) == 0 {
		o.nextRenewal = w.now.Add(renewInterval / 5)
	}
	o.sequence++
	request := &wire.RenewRequest{
		Vm: o.vm, Incarnation: fmt.Sprint(o.generation), FailureDomain: o.domain, Sequence: o.sequence,
		ConfigurationVersion: o.version, DirectoryEpoch: o.epoch, DirectoryRevision: o.revision,
	}
	if now.Before(o.holder.Expiry(groupName)) {
		request.Holdings = []*wire.Holding{{
			Group: groupName, Term: o.holder.Term(now, groupName),
			Connections: uint32(max(o.openConnections, o.holder.Connections(now, groupName))),
		}}
		health := map[watch.Health]wire.PrimaryHealth{watch.Good: 1, watch.Unreachable: 2, watch.Stalled: 3}[o.watch.Health()]
		request.Observations = []*wire.Observation{{Group: groupName, Term: o.watch.Term(), Health: health}}
	}
	for _, s := range w.servers {
		if s.up && w.random.IntN(3) == 0 {
			request.Announcements = append(request.Announcements, &wire.Announcement{
				Group: groupName, Slot: s.slot, Incarnation: fmt.Sprint(s.incarnation), Address: s.slot,
				Primary: s.primary, Term: s.term, Position: s.lastPosition().Wire(), Leaving: s.leaving,
			})
		}
	}
	generation, sequence := o.generation, o.sequence
	w.send(o.vm, "control", func() {
		if !w.leading {
			return
		}
		response := w.leader.Renew(w.now, request)
		w.send("control", o.vm, func() {
			if o.up && o.generation == generation && o.sequence == sequence && response.GetAccepted() {
				w.applyRenewal(o, now, response)
			}
		})
	})
}

func (w *simulation) applyRenewal(o *owner, asked time.Time, r *wire.RenewResponse) {
	grants := map[string]lease.Grant{}
	for _, g := range r.GetGrants() {
		grants[g.GetGroup()] = lease.Grant{Term: g.GetTerm(), Connections: int(g.GetConnections())}
	}
	if !o.holder.ApplyGrants(asked, r.GetControlTerm(), time.Duration(r.GetLeaseMilliseconds())*time.Millisecond, grants) {
		return
	}
	o.version = r.GetConfigurationVersion()
	if r.GetDirectoryEpoch() == 0 {
		return
	}
	o.epoch, o.revision = r.GetDirectoryEpoch(), r.GetDirectoryRevision()
	for _, g := range r.GetGroups() {
		o.state = g
		o.watch.StartTerm(w.clock(o), g.GetTerm())
	}
}

func (w *simulation) poll(o *owner) {
	slot := o.state.GetPrimarySlot()
	term := o.state.GetTerm()
	s := w.servers[slot]
	if s == nil {
		return
	}
	report := watch.Report{PolledAt: w.clock(o)}
	generation := o.generation
	w.send(o.vm, slot, func() {
		if !s.up || !s.primary || s.term != term {
			return
		}
		report.IsPrimary = true
		report.Position = session.Position{Term: s.term, Offset: uint64(len(s.log))}
		for _, f := range w.servers {
			if f != s && f.up && f.follows == slot && f.term == term && isPrefix(f.log, s.log) {
				report.Replicas = append(report.Replicas, watch.Replica{Slot: f.slot, Incarnation: fmt.Sprint(f.incarnation), Flushed: uint64(len(f.log))})
			}
		}
		w.send(slot, o.vm, func() {
			if o.up && o.generation == generation && o.watch.Term() == term {
				w.completeWrites(o, o.watch.HandleReport(w.clock(o), report, o.watchGroup(w.clock(o))))
			}
		})
	})
}

func isPrefix(a, b []record) bool {
	for i := range a {
		if i >= len(b) || a[i] != b[i] {
			return false
		}
	}
	return true
}

func (o *owner) watchGroup(now time.Time) watch.MajorityRules {
	g := watch.MajorityRules{
		SlotCount: 3, PrimarySlot: o.state.GetPrimarySlot(), Admitted: map[string]string{},
		HoldsLease: o.holder.Term(now, groupName) == o.watch.Term(),
	}
	for _, s := range o.state.GetServers() {
		if s.GetAdmitted() {
			g.Admitted[s.GetSlot()] = s.GetIncarnation()
		}
	}
	return g
}

// write sends a write through an owner if the owner may acknowledge it.
func (w *simulation) write(o *owner) {
	term := o.holder.Term(w.clock(o), groupName)
	if !o.up || term == 0 || term != o.state.GetTerm() {
		return
	}
	w.lastID++
	id := w.lastID
	slot := o.state.GetPrimarySlot()
	s := w.servers[slot]
	generation := o.generation
	w.send(o.vm, slot, func() {
		if !s.up || !s.primary || s.term != term {
			return
		}
		s.log = append(s.log, record{term, id})
		w.writtenAt[id] = s.lastPosition()
		s.replayed = len(s.log)
		w.send(slot, o.vm, func() {
			if o.up && o.generation == generation {
				o.writes[o.watch.StartWait(w.clock(o), term, true)] = &write{id, term}
			}
		})
	})
}

func (w *simulation) completeWrites(o *owner, completed []watch.WaitResult) {
	for _, d := range completed {
		w.checkSessionFloor(o, d)
		wr := o.writes[d.ID]
		delete(o.writes, d.ID)
		if wr == nil || d.Superseded || o.holder.Term(w.clock(o), groupName) != wr.term {
			continue
		}
		w.acknowledged[wr.id] = d.Position
		w.acknowledgedAt[wr.id] = w.now
		w.lastAcknowledgment = w.now
		if recorded := w.machine.Primary(groupName).GetTerm(); recorded > wr.term {
			w.recordViolation("owner %s acknowledged write %d in term %d although term %d is recorded", o.vm, wr.id, wr.term, recorded)
		}
	}
}

// startSession starts a session without a known floor.
func (w *simulation) startSession(o *owner) {
	if o.up && w.clock(o).Before(o.holder.Expiry(groupName)) {
		o.sessionStarts[o.watch.StartWait(w.clock(o), 0, false)] = w.now
	}
}

// checkSessionFloor checks that the floor given to a session without a known one covers every write
// that any owner had acknowledged when the session started.
func (w *simulation) checkSessionFloor(o *owner, d watch.WaitResult) {
	began, ok := o.sessionStarts[d.ID]
	delete(o.sessionStarts, d.ID)
	if !ok || d.Superseded {
		return
	}
	for id, at := range w.acknowledgedAt {
		if at.Before(began) && d.Acknowledged.Less(w.writtenAt[id]) {
			w.recordViolation("owner %s gave floor %v to a session started after write %d at %v was acknowledged", o.vm, d.Acknowledged, id, w.writtenAt[id])
		}
	}
}

// checkConnections checks the open connections, including those of the control leader, against the
// limit.
func (w *simulation) checkConnections() {
	openConnections := controlConnections
	for _, o := range w.owners {
		if o.up {
			openConnections += o.openConnections
		}
	}
	if openConnections > connectionLimit {
		w.recordViolation("%d connections are open; the limit is %d", openConnections, connectionLimit)
	}
}

// checkFloors checks that every server that has replayed up to a write's floor has the write.
func (w *simulation) checkFloors() {
	for id, floor := range w.acknowledged {
		for _, s := range w.servers {
			if s.replayed == 0 {
				continue
			}
			shown := session.Position{Term: s.log[s.replayed-1].term, Offset: uint64(s.replayed)}
			if !shown.Less(floor) && !contains(s.log[:s.replayed], id) {
				w.recordViolation("server %s has replayed %v but lacks write %d with floor %v", s.slot, shown, id, floor)
			}
		}
	}
}

func contains(log []record, id int) bool {
	for _, r := range log {
		if r.id == id {
			return true
		}
	}
	return false
}

func itoa(n int) string { return fmt.Sprint(n) }
