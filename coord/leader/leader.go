package leader

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/config"
	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
)

const (
	// DefaultOwners is the number of entry VMs that hold a group's connections.
	DefaultOwners = 3
	// memberGrace is how much longer than its leases a silent VM stays a member.
	memberGrace = 500 * time.Millisecond
	// blindLife is how long a VM is not given a group whose primary it could not reach.
	blindLife  = 5 * time.Second
	serverLife = 5 * time.Second
	// controlConnections is how many connections to each server the control leader may open.
	controlConnections = 1
	// maxChangesBytes is the most that an answer to a renewal carries of the configuration: it has
	// to cross a slow link well within a part of a lease, beside what callers send.
	maxChangesBytes = 4 << 10
	// joinDelay keeps a VM that comes and goes from being given groups each time.
	joinDelay = time.Second
	// leadingLoad is how many groups leading costs the leader's own VM: as many renewals are
	// answered for a hundred VMs as statements for a group.
	leadingLoad = 1
)

// Action is a promote.Action for a group, or a command that records what the leader knows of an
// announced one.
type Action struct {
	Group string
	promote.Action
	// Owners or Server are to be recorded.
	Owners *wire.Owners
	Server *wire.Announcement
	// Step is to be logged.
	Step *Step
}

// Step is a change of a group's state in the chart of package promote, with what it rests on.
type Step struct {
	From, To string
	Why      string
	Evidence string
}

// Leader is the control leader's soft state; it is not safe for concurrent use.
type Leader struct {
	// State is the replicated state, shared with its driver.
	State *state.Machine
	// Lease is how long a lease lasts; 0 means lease.DefaultDuration.
	Lease time.Duration
	// Owners is the number of entry VMs that own a group; 0 means DefaultOwners.
	Owners int
	// VM is the leader's own, which has less to spare for groups; empty if no entry VM runs there.
	VM string

	term     uint64
	started  time.Time
	table    lease.Table
	set      *config.Set
	version  uint64
	recorded uint64
	names    []string
	stale    bool
	members  map[string]*member
	// departed VMs fell silent and may still work by what they last confirmed.
	departed  map[string]*member
	groups    map[string]*group
	directory directory
}

type member struct {
	wire     *wire.Member
	life     string
	sequence uint64
	joined   time.Time
	renewed  time.Time
	version  uint64
	capacity int
	owned    []string
	// drain asks the VM to drain, as an operator ordered.
	drain bool
}

type group struct {
	machine *promote.Group
	servers map[string]*server
	owners  []string
	// due is when the group is looked at if nothing happens before; dirty is that something did.
	due   time.Time
	dirty bool
	// recalled says that what was recorded of an announced group has been taken over.
	recalled bool
	// blind are VMs that could not reach a primary that answers the control leader.
	blind map[string]time.Time
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
	if l.Lease == 0 {
		l.Lease = lease.DefaultDuration
	}
	l.term = term
	l.started = now
	l.table = lease.Table{Duration: l.Lease}
	l.table.Lead(now)
	l.set = config.NewSet()
	l.version = 0
	l.members = map[string]*member{}
	l.departed = map[string]*member{}
	l.groups = map[string]*group{}
	l.directory = newDirectory(term)
	l.configure(now)
}

// Term returns the control term of this leadership.
func (l *Leader) Term() uint64 { return l.term }

// configure brings the groups in line with the replicated state.
func (l *Leader) configure(now time.Time) {
	if l.version == l.State.Version() {
		return
	}
	l.set.ApplyChanges(l.State.Since(l.version))
	l.version = l.State.Version()
	for name, g := range l.set.Groups {
		if l.groups[name] == nil {
			l.groups[name] = &group{machine: &promote.Group{Name: name}, servers: map[string]*server{}}
			l.groups[name].machine.Lead(now, primaryOf(l.State, name))
		}
		l.groups[name].machine.Announced = g.Announced
		if g.Announced && !l.groups[name].recalled {
			l.recall(now, name, l.groups[name])
		}
		if !g.Announced {
			l.groups[name].machine.Slots = g.Slots
		}
		l.groups[name].dirty = true
		l.publish(name, l.groups[name])
	}
	for name := range l.groups {
		if _, ok := l.set.Groups[name]; !ok {
			delete(l.groups, name)
			l.table.Remove(name)
			l.directory.dropGroup(name)
		}
	}
	l.names = slices.Sorted(maps.Keys(l.groups))
	l.stale = true
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
	response := &wire.RenewResponse{
		Accepted: true, ControlTerm: l.term,
		LeaseMilliseconds:    uint32(l.table.Duration.Milliseconds()),
		ConfigurationVersion: l.version,
	}
	if l.State.SizeSince(r.GetConfigurationVersion()) > maxChangesBytes {
		response.ChangesApart = true
	} else {
		response.Objects, response.ConfigurationWhole = l.State.Since(r.GetConfigurationVersion())
	}
	if len(r.GetHoldings()) == 0 {
		// Nothing is to be adopted, so that its report may end the adoption at once.
		l.table.Heard(r.GetVm())
	}
	response.Grants = l.grants(now, m, r)
	l.table.Heard(r.GetVm())
	if l.complete(now) {
		l.directory.since(r, response)
	} else {
		response.Soon = true
	}
	response.Soon = response.Soon || l.changing(m)
	response.Drain = m.drain
	return response
}

// changing reports whether the primary of a group that the VM owns is being changed: callers wait
// for the VM to hear of the next one.
func (l *Leader) changing(m *member) bool {
	return slices.ContainsFunc(m.owned, func(name string) bool {
		g := l.groups[name]
		return g != nil && g.machine.Primary().Term > 0 && g.machine.State() != promote.Steady
	})
}

// Announce takes a server's announcement that reached the control VMs directly.
func (l *Leader) Announce(now time.Time, a *wire.Announcement) {
	l.configure(now)
	l.announce(now, a)
	if g := l.groups[a.GetGroup()]; g != nil {
		l.publish(a.GetGroup(), g)
	}
}

func (l *Leader) announce(now time.Time, a *wire.Announcement) {
	g := l.groups[a.GetGroup()]
	if g == nil || g.machine.Announced && !g.admit(a) {
		return
	}
	if !slices.Contains(g.machine.Slots, a.GetSlot()) {
		return
	}
	g.dirty = g.dirty || news(g.servers[a.GetSlot()], a)
	g.servers[a.GetSlot()] = &server{announcement: a, heard: now}
	g.machine.Announce(statusOf(now, a))
}

func statusOf(now time.Time, a *wire.Announcement) promote.Status {
	return promote.Status{
		Slot: a.GetSlot(), Incarnation: a.GetIncarnation(), Primary: a.GetPrimary(), Term: a.GetTerm(),
		Position: session.FromWire(a.GetPosition()), Leaving: a.GetLeaving(), Asked: now,
	}
}

// news reports whether an announcement tells anything but a new position.
func news(old *server, a *wire.Announcement) bool {
	if old == nil {
		return true
	}
	o := old.announcement
	return o.GetIncarnation() != a.GetIncarnation() || o.GetAddress() != a.GetAddress() ||
		o.GetFailureDomain() != a.GetFailureDomain() || o.GetPrimary() != a.GetPrimary() ||
		o.GetTerm() != a.GetTerm() || o.GetLeaving() != a.GetLeaving() ||
		o.GetConcurrency() != a.GetConcurrency()
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
		case wire.PrimaryHealth_PRIMARY_HEALTH_OVERLOADED:
			health = promote.Overloaded
		}
		g.dirty = g.dirty || health != promote.Good
		if health == promote.Good || health == promote.Overloaded {
			delete(g.blind, r.GetVm())
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

// Answer takes note of a server's own status.
func (l *Leader) Answer(name string, s promote.Status) {
	if g := l.groups[name]; g != nil {
		g.machine.Answer(s)
		g.dirty = true
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

// Drain asks an entry VM to drain; the next renewal's answer tells it.
func (l *Leader) Drain(vm string) error {
	m := l.members[vm]
	if m == nil {
		return fmt.Errorf("entry VM %q is not up", vm)
	}
	m.drain = true
	return nil
}

// Force starts a change of primary on an operator's word.
func (l *Leader) Force(now time.Time, name, slot string, acceptLoss bool) error {
	l.configure(now)
	g := l.groups[name]
	if g == nil {
		return unknownGroupError(name)
	}
	g.dirty = true
	return g.machine.Force(now, slot, acceptLoss)
}

// Announced reports whether a group's servers announce themselves.
func (l *Leader) Announced(name string) bool {
	g := l.groups[name]
	return g != nil && g.machine.Announced
}

// Refused takes note that a server refused for good to lead as the recorded primary.
func (l *Leader) Refused(now time.Time, name string, p promote.Primary) {
	if g := l.groups[name]; g != nil {
		g.machine.Refused(now, p)
		g.dirty = true
	}
}
