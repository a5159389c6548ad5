package leader

import (
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/config"
	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/place"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
)

const (
	// DefaultOwners is the number of entry VMs that hold a group's connections.
	DefaultOwners = 3
	memberLife    = 2500 * time.Millisecond
	serverLife    = 5 * time.Second
	// controlConnections is how many connections to each server the control leader may open.
	controlConnections = 1
	// joinDelay keeps a VM that comes and goes from being given groups each time.
	joinDelay = time.Second
)

// Action is a promote.Action for a group.
type Action struct {
	Group string
	promote.Action
}

// Leader is the control leader's soft state; it is not safe for concurrent use.
type Leader struct {
	// State is the replicated state, shared with its driver.
	State *state.Machine
	// Lease is how long a lease lasts; 0 means lease.DefaultDuration.
	Lease time.Duration
	// Owners is the number of entry VMs that own a group; 0 means DefaultOwners.
	Owners int

	term    uint64
	started time.Time
	table   lease.Table
	set     *config.Set
	version uint64
	members map[string]*member
	// departed VMs fell silent and may still work by what they last confirmed.
	departed  map[string]*member
	groups    map[string]*group
	directory directory
	ownership string
}

type member struct {
	wire     *wire.Member
	life     string
	sequence uint64
	joined   time.Time
	renewed  time.Time
	version  uint64
	owned    []string
}

type group struct {
	machine *promote.Group
	servers map[string]*server
	owners  []string
}

type server struct {
	announcement *wire.Announcement
	heard        time.Time
}

// Lead starts a leadership of a control term.
func (l *Leader) Lead(now time.Time, term uint64) {
	if l.Owners == 0 {
		l.Owners = DefaultOwners
	}
	l.term = term
	l.started = now
	l.table = lease.Table{Duration: l.Lease}
	l.table.Lead(now)
	l.set = config.Empty()
	l.version = 0
	l.members = map[string]*member{}
	l.departed = map[string]*member{}
	l.groups = map[string]*group{}
	l.directory = newDirectory(term)
	l.ownership = ""
	l.configure(now)
}

// Term returns the control term of this leadership.
func (l *Leader) Term() uint64 { return l.term }

// configure brings the groups in line with the replicated state.
func (l *Leader) configure(now time.Time) {
	if l.version == l.State.Version() {
		return
	}
	l.version = l.State.Version()
	l.set = decode(l.State.Objects())
	for name, g := range l.set.Groups {
		if l.groups[name] == nil {
			l.groups[name] = &group{machine: &promote.Group{Name: name}, servers: map[string]*server{}}
			l.groups[name].machine.Lead(now, primaryOf(l.State, name))
		}
		l.groups[name].machine.Slots = g.Slots
		l.publish(name, l.groups[name])
	}
	for name := range l.groups {
		if _, ok := l.set.Groups[name]; !ok {
			delete(l.groups, name)
			l.table.Remove(name)
			l.directory.dropGroup(name)
		}
	}
	l.ownership = ""
}

func decode(objects []*wire.Object) *config.Set {
	set := config.Empty()
	for _, o := range objects {
		// Objects were checked before they were proposed; one that does not decode is left out.
		_ = set.Put(config.Key{Kind: o.GetKind(), Name: o.GetName()}, o.GetBody())
	}
	return set
}

func primaryOf(m *state.Machine, name string) promote.Primary {
	recorded := m.Primary(name)
	p := promote.Primary{Term: recorded.GetTerm(), Slot: recorded.GetSlot(), Incarnations: map[string]string{}}
	for _, s := range recorded.GetSlots() {
		p.Incarnations[s.GetName()] = s.GetIncarnation()
	}
	return p
}

// Record returns the command that records a primary.
func Record(group string, p *promote.Primary) *wire.Command {
	recorded := &wire.Primary{Group: group, Term: p.Term, Slot: p.Slot}
	for _, name := range slices.Sorted(maps.Keys(p.Incarnations)) {
		recorded.Slots = append(recorded.Slots, &wire.Slot{Name: name, Incarnation: p.Incarnations[name]})
	}
	return &wire.Command{Primary: recorded}
}

// Renew answers an entry VM's periodic message.
func (l *Leader) Renew(now time.Time, r *wire.RenewRequest) *wire.RenewResponse {
	l.configure(now)
	m := l.member(now, r)
	if m == nil {
		return &wire.RenewResponse{}
	}
	for _, a := range r.GetAnnouncements() {
		l.announce(now, a)
	}
	l.observe(now, r)
	l.settle(now)
	response := &wire.RenewResponse{
		Accepted: true, ControlTerm: l.term,
		LeaseMilliseconds:    uint32(l.table.Duration.Milliseconds()),
		ConfigurationVersion: l.version,
	}
	response.Objects, response.ConfigurationWhole = l.State.Since(r.GetConfigurationVersion())
	if !l.table.Adopting(now) {
		l.directory.since(r, response)
	}
	response.Grants = l.grants(now, m, r)
	return response
}

// member finds or makes the record of the asking VM; nil means that the message is older than
// one already answered.
func (l *Leader) member(now time.Time, r *wire.RenewRequest) *member {
	m := l.members[r.GetVm()]
	if m != nil && m.life == r.GetIncarnation() && r.GetSequence() <= m.sequence {
		return nil
	}
	if m == nil || m.life != r.GetIncarnation() {
		m = &member{life: r.GetIncarnation(), joined: now}
		if l.table.Adopting(now) {
			m.joined = now.Add(-joinDelay)
		}
		l.members[r.GetVm()] = m
	}
	m.sequence = r.GetSequence()
	m.renewed = now
	m.version = r.GetConfigurationVersion()
	m.wire = &wire.Member{
		Vm: r.GetVm(), FailureDomain: r.GetFailureDomain(),
		LinkAddress: r.GetLinkAddress(), Draining: r.GetDraining(),
	}
	l.directory.putMember(m.wire)
	return m
}

func (l *Leader) announce(now time.Time, a *wire.Announcement) {
	g := l.groups[a.GetGroup()]
	if g == nil || !slices.Contains(g.machine.Slots, a.GetSlot()) {
		return
	}
	g.servers[a.GetSlot()] = &server{announcement: a, heard: now}
	g.machine.Announce(promote.Status{
		Slot: a.GetSlot(), Incarnation: a.GetIncarnation(), Primary: a.GetPrimary(), Term: a.GetTerm(),
		Position: session.FromWire(a.GetPosition()), Leaving: a.GetLeaving(), Asked: now,
	})
}

func (l *Leader) observe(now time.Time, r *wire.RenewRequest) {
	for _, o := range r.GetObservations() {
		g := l.groups[o.GetGroup()]
		if g == nil || o.GetHealth() == wire.PrimaryHealth_PRIMARY_HEALTH_UNKNOWN {
			continue
		}
		health := promote.Good
		switch o.GetHealth() {
		case wire.PrimaryHealth_PRIMARY_HEALTH_UNREACHABLE:
			health = promote.Unreachable
		case wire.PrimaryHealth_PRIMARY_HEALTH_STALLED:
			health = promote.Stalled
		}
		g.machine.Observe(now, promote.Observation{
			VM: r.GetVm(), FailureDomain: r.GetFailureDomain(), Term: o.GetTerm(), Health: health,
		})
	}
}

// grants renews what the VM holds and what it owns.
func (l *Leader) grants(now time.Time, m *member, r *wire.RenewRequest) []*wire.Grant {
	held := map[string]lease.Holding{}
	for _, h := range r.GetHoldings() {
		held[h.GetGroup()] = lease.Holding{
			Term: h.GetTerm(), Connections: int(h.GetConnections()), Demand: int(h.GetDemand()),
		}
	}
	for _, name := range m.owned {
		if _, ok := held[name]; !ok {
			held[name] = lease.Holding{}
		}
	}
	var grants []*wire.Grant
	for _, name := range slices.Sorted(maps.Keys(held)) {
		g := l.table.Renew(now, r.GetVm(), name, held[name])
		if g != (lease.Grant{}) || held[name] != (lease.Holding{}) {
			grants = append(grants, &wire.Grant{Group: name, Term: g.Term, Connections: uint32(g.Connections)})
		}
	}
	return grants
}

// Tick lets time pass and returns what is to be done to backend servers and the log.
func (l *Leader) Tick(now time.Time) []Action {
	l.configure(now)
	l.settle(now)
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(l.groups)) {
		g := l.groups[name]
		if recorded := primaryOf(l.State, name); recorded.Term > 0 {
			g.machine.Recorded(now, recorded)
		}
		fenced := l.table.Fenced(now, name, g.machine.Primary().Term)
		for _, a := range g.machine.Tick(now, fenced) {
			actions = append(actions, Action{Group: name, Action: a})
		}
		l.publish(name, g)
	}
	return actions
}

// settle drops what has fallen silent and gives groups to owners.
func (l *Leader) settle(now time.Time) {
	for vm, m := range l.members {
		if now.Sub(m.renewed) > memberLife && !l.table.Adopting(now) {
			delete(l.members, vm)
			l.departed[vm] = m
			l.directory.dropMember(vm)
		}
	}
	for _, g := range l.groups {
		for slot, s := range g.servers {
			if now.Sub(s.heard) > serverLife {
				delete(g.servers, slot)
			}
		}
	}
	l.assign(now)
}

// assign recomputes the owners when the VMs that can own have changed.
func (l *Leader) assign(now time.Time) {
	var able []place.Member
	for _, vm := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[vm]
		if !m.wire.GetDraining() && now.Sub(m.joined) >= joinDelay {
			able = append(able, place.Member{VM: vm, FailureDomain: m.wire.GetFailureDomain()})
		}
	}
	ownership := fingerprint(l.version, able)
	if ownership == l.ownership || l.table.Adopting(now) {
		return
	}
	l.ownership = ownership
	for _, m := range l.members {
		m.owned = nil
	}
	for name, g := range l.groups {
		g.owners = place.Owners(name, able, l.Owners)
		domains := map[string]string{}
		for _, vm := range g.owners {
			l.members[vm].owned = append(l.members[vm].owned, name)
			domains[vm] = l.members[vm].wire.GetFailureDomain()
		}
		g.machine.SetOwners(domains)
		l.publish(name, g)
	}
}

func fingerprint(version uint64, able []place.Member) string {
	data := []byte{byte(version), byte(version >> 8), byte(version >> 16), byte(version >> 24)}
	for _, m := range able {
		data = append(data, m.VM...)
		data = append(data, 0)
		data = append(data, m.FailureDomain...)
		data = append(data, 0)
	}
	return string(data)
}

// publish brings a group's lease terms and directory entry up to date.
func (l *Leader) publish(name string, g *group) {
	primary := g.machine.Primary()
	limit := l.set.Groups[name].Connections - len(g.machine.Slots)*controlConnections
	l.table.Set(name, lease.Group{
		Term: g.machine.AckTerm(), Closing: g.machine.Closing(), Limit: limit, Owners: g.owners,
	})
	entry := &wire.GroupState{Group: name, Term: primary.Term, PrimarySlot: primary.Slot, Owners: g.owners}
	for _, slot := range g.machine.Slots {
		s := g.servers[slot]
		if s == nil {
			continue
		}
		a := s.announcement
		entry.Servers = append(entry.Servers, &wire.Server{
			Slot: slot, Incarnation: a.GetIncarnation(), Address: a.GetAddress(),
			FailureDomain: a.GetFailureDomain(), Leaving: a.GetLeaving(),
			Admitted: primary.Incarnations[slot] == a.GetIncarnation(),
		})
	}
	l.directory.putGroup(entry)
}

// Answer takes note of a server's own status.
func (l *Leader) Answer(name string, s promote.Status) {
	if g := l.groups[name]; g != nil {
		g.machine.Answer(s)
	}
}

// Address returns where a slot's server was last announced, or "".
func (l *Leader) Address(name, slot string) string {
	g := l.groups[name]
	if g == nil || g.servers[slot] == nil {
		return ""
	}
	return g.servers[slot].announcement.GetAddress()
}

// Primary returns the recorded primary of a group.
func (l *Leader) Primary(name string) promote.Primary {
	if g := l.groups[name]; g != nil {
		return g.machine.Primary()
	}
	return promote.Primary{}
}

// Force starts a change of primary on an operator's word.
func (l *Leader) Force(now time.Time, name, slot string, acceptLoss bool) error {
	l.configure(now)
	g := l.groups[name]
	if g == nil {
		return unknownGroupError(name)
	}
	return g.machine.Force(now, slot, acceptLoss)
}

// InForce reports whether every entry VM that may take work has confirmed a configuration
// version; it is never true before an earlier leader's VMs are known or have stopped.
func (l *Leader) InForce(now time.Time, version uint64, confirmWithin time.Duration) bool {
	if version > l.version || now.Sub(l.started) < confirmWithin {
		return false
	}
	for vm, m := range l.departed {
		if now.Sub(m.renewed) > confirmWithin {
			delete(l.departed, vm)
		} else if m.version < version {
			return false
		}
	}
	for _, m := range l.members {
		if m.version < version {
			return false
		}
	}
	return true
}
