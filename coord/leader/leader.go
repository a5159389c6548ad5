package leader

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"trefoilcourse/coord/announcement"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/directory"
	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/quota"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/state"
	"trefoilcourse/wire"
)

const (
	// DefaultOwners is the number of entry VMs that own a group when Leader.Owners is 0.
	DefaultOwners = 3
	// memberGrace is how long a silent VM stays a member after its leases have expired.
	memberGrace = 500 * time.Millisecond
	// unreachableCooldown is how long a VM is not assigned a group whose primary it could not reach.
	unreachableCooldown = 5 * time.Second
	// serverTimeout is how long a silent server of a group with configured slots stays known.
	serverTimeout = 5 * time.Second
	// controlConnectionsPerServer is how many connections to each server the control leader may open.
	controlConnectionsPerServer = 1
	// maxChangesBytes is the maximum size of the configuration changes in a renewal response, which
	// has to cross a slow link, beside callers' traffic, in a fraction of the lease duration.
	maxChangesBytes = 4 << 10
	// joinDelay is how long a VM must be a member before it is assigned groups, so that a VM that
	// joins and leaves repeatedly does not move groups each time.
	joinDelay = time.Second
	// assignInterval is the shortest time between two assignments of all owners, which cost groups times
	// VMs. While hundreds of VMs restart, one comes or goes in each tick.
	assignInterval = 100 * time.Millisecond
	// ownerMoveInterval limits how often a group moves an owner nearer to its servers: a move closes the
	// connections of the owner that is replaced.
	ownerMoveInterval = 5 * time.Second
	// leaderLoadGroups is how many owned groups leading counts for on the leader's own VM when groups
	// are assigned by load: the renewals of a hundred VMs are about as many requests as the
	// statements of one group.
	leaderLoadGroups = 1
)

// Action is a promote.Action for a group, a record to write about an announced group, or a
// transition to log.
type Action struct {
	Group string
	promote.Action
	// Owners are the group's owners to record in the replicated state.
	Owners *wire.Owners
	// Server is the announcement to record in the replicated state.
	Server *wire.Announcement
	// Transition is the change to log.
	Transition *Transition
}

// Transition is a change of a group's state in the chart of package promote, or of what the group waits
// for within a state, with its reason and the evidence for it.
type Transition struct {
	From, To string
	Reason   string
	Evidence string
}

// Leader is the control leader's soft state; it is not safe for concurrent use.
type Leader struct {
	// State is the replicated state machine; the caller applies commands to it.
	State *state.Machine
	// LeaseDuration is how long a lease lasts; 0 means lease.DefaultDuration.
	LeaseDuration time.Duration
	// Owners is the number of entry VMs that own a group; 0 means DefaultOwners.
	Owners int
	// OwnersNearServers places the owners of announced groups in the failure domains of their servers.
	OwnersNearServers bool
	// VM is the leader's own VM, which has less capacity for groups; empty if no entry VM runs there.
	VM string
	// Pace limits what a term sends of the directory; it is read by StartTerm.
	Pace directory.Pace

	term                 uint64
	started              time.Time
	leases               lease.Table
	configuration        *config.Set
	configurationVersion uint64
	recordedRevision     uint64
	groupNames           []string
	// ownersOutdated has owners assigned anew, from nextAssignment on. joinsDue is when VMs that joined
	// may be assigned groups, or zero if there are none.
	ownersOutdated bool
	nextAssignment time.Time
	joinsDue       time.Time
	// evaluations and assignments count the groups that were evaluated and the times that the owners of
	// all groups were assigned.
	evaluations, assignments int
	// changingOwners is the number of owners of groups whose primaries are being changed.
	changingOwners int
	// movingVMs is the number of VMs whose connections move.
	movingVMs int
	members   map[string]*member
	// expired holds removed members by VM. Such a VM may still serve requests with the configuration
	// version in its record until the confirmWithin of InForce has passed since its last renewal.
	expired   map[string]*member
	groups    map[string]*group
	directory directory.Publisher
	usage     quota.Allocator
}

// member is an entry VM that renews its leases.
type member struct {
	directoryEntry       *wire.Member
	incarnation          string
	sequence             uint64
	joined               time.Time
	renewed              time.Time
	configurationVersion uint64
	capacity             int
	owned                []string
	// drain is set once an operator has ordered the VM to drain.
	drain bool
	// moving is set if connections of the VM's groups moved when it last renewed.
	moving bool
}

type group struct {
	failover *promote.Group
	servers  map[string]*server
	owners   []string
	// ownerMoved is when an owner was last replaced by one nearer to the servers, and ownerMoveChecked when
	// a replacement was last considered.
	ownerMoved, ownerMoveChecked time.Time
	// nextTick is when the group is evaluated at the latest; a dirty group is evaluated at the next
	// Tick.
	nextTick time.Time
	dirty    bool
	// recordedStateLoaded is set once an announced group's recorded servers and owners have been
	// loaded.
	recordedStateLoaded bool
	// unreachableFrom holds the VMs that could not reach a primary that answers the control leader,
	// and since when.
	unreachableFrom map[string]time.Time
}

// server is the latest announcement of a backend server and when it arrived.
type server struct {
	announcement *wire.Announcement
	lastHeard    time.Time
}

// StartTerm clears the soft state and starts leading in a control term.
func (l *Leader) StartTerm(now time.Time, term uint64) {
	if l.Owners == 0 {
		l.Owners = DefaultOwners
	}
	if l.LeaseDuration == 0 {
		l.LeaseDuration = lease.DefaultDuration
	}
	l.term = term
	l.started = now
	l.leases = lease.Table{Duration: l.LeaseDuration}
	l.leases.StartTerm(now)
	l.configuration = config.NewSet()
	l.configurationVersion = 0
	l.members = map[string]*member{}
	l.expired = map[string]*member{}
	l.groups = map[string]*group{}
	l.nextAssignment = time.Time{}
	l.joinsDue = time.Time{}
	l.directory = directory.Publisher{Epoch: term, Pace: l.Pace}
	l.applyConfiguration(now)
	l.usage = quota.Allocator{Hold: l.leases.LeaderDuration()}
	l.usage.StartTerm(now, l.usageCaps())
}

// Term returns the control term in which this leader leads.
func (l *Leader) Term() uint64 { return l.term }

// applyConfiguration updates the groups to the configuration in the replicated state.
func (l *Leader) applyConfiguration(now time.Time) {
	if l.configurationVersion == l.State.Version() {
		return
	}
	l.configuration.ApplyChanges(l.State.ChangesSince(l.configurationVersion))
	l.configurationVersion = l.State.Version()
	for name, g := range l.configuration.Groups {
		if l.groups[name] == nil {
			l.groups[name] = &group{failover: &promote.Group{Name: name, Notice: l.renewInterval()}, servers: map[string]*server{}}
			l.groups[name].failover.Restart(now, primaryOf(l.State, name))
		}
		l.groups[name].failover.Announced = g.Announced
		l.groups[name].failover.SynchronousReplicas = g.SynchronousReplicas
		if g.Announced && !l.groups[name].recordedStateLoaded {
			l.loadRecordedState(now, name, l.groups[name])
		}
		if !g.Announced {
			l.groups[name].failover.Slots = g.Slots
		}
		l.groups[name].dirty = true
		l.updateGroupState(now, name, l.groups[name])
	}
	for name := range l.groups {
		if _, ok := l.configuration.Groups[name]; !ok {
			delete(l.groups, name)
			l.leases.RevokeGroup(name)
			l.directory.DropGroup(now, name)
		}
	}
	l.groupNames = slices.Sorted(maps.Keys(l.groups))
	l.ownersOutdated = true
	l.usage.SetCaps(now, l.usageCaps())
}

// primaryOf returns the recorded primary of a group.
func primaryOf(m *state.Machine, name string) promote.Primary {
	recorded := m.Primary(name)
	p := promote.Primary{Term: recorded.GetTerm(), Slot: recorded.GetSlot(), Incarnations: map[string]string{}}
	for _, s := range recorded.GetSlots() {
		p.Incarnations[s.GetName()] = s.GetIncarnation()
	}
	return p
}

// RecordCommand returns the command that records a group's primary.
func RecordCommand(group string, p *promote.Primary) *wire.Command {
	recorded := &wire.Primary{Group: group, Term: p.Term, Slot: p.Slot}
	for _, name := range slices.Sorted(maps.Keys(p.Incarnations)) {
		recorded.Slots = append(recorded.Slots, &wire.Slot{Name: name, Incarnation: p.Incarnations[name]})
	}
	return &wire.Command{Primary: recorded}
}

// Renew handles the periodic renewal request of an entry VM.
func (l *Leader) Renew(now time.Time, r *wire.RenewRequest) *wire.RenewResponse {
	l.applyConfiguration(now)
	m := l.updateMember(now, r)
	if m == nil {
		return &wire.RenewResponse{}
	}
	for _, a := range r.GetAnnouncements() {
		l.applyAnnouncement(now, a)
	}
	l.recordObservations(now, r)
	response := &wire.RenewResponse{
		Accepted: true, ControlTerm: l.term,
		LeaseMilliseconds:    uint32(l.leases.Duration.Milliseconds()),
		ConfigurationVersion: l.configurationVersion,
	}
	if l.State.ChangesSize(r.GetConfigurationVersion()) > maxChangesBytes {
		response.ChangesApart = true
	} else {
		response.Objects, response.ConfigurationWhole = l.State.ChangesSince(r.GetConfigurationVersion())
	}
	if len(r.GetHoldings()) == 0 {
		// Without holdings there is nothing to recover, so this report may end recovery before the
		// grants below.
		l.leases.MarkReported(r.GetVm())
	}
	for _, h := range r.GetHoldings() {
		if g := l.groups[h.GetGroup()]; g != nil && g.failover.ConfirmTerm(h.GetTerm()) {
			l.updateGroupState(now, h.GetGroup(), g)
		}
	}
	response.Grants = l.grants(now, m, r)
	l.leases.MarkReported(r.GetVm())
	l.renewUsage(now, r, response)
	l.scheduleRenewal(now, m, r, response)
	response.Drain = m.drain
	return response
}

// ReceiveAnnouncement handles a server's announcement that reached the control VMs directly.
func (l *Leader) ReceiveAnnouncement(now time.Time, a *wire.Announcement) {
	l.applyConfiguration(now)
	l.applyAnnouncement(now, a)
	if g := l.groups[a.GetGroup()]; g != nil && g.dirty {
		l.updateGroupState(now, a.GetGroup(), g)
	}
}

// applyAnnouncement stores a server's announcement unless it is invalid, or its group or slot is unknown.
func (l *Leader) applyAnnouncement(now time.Time, a *wire.Announcement) {
	g := l.groups[a.GetGroup()]
	if announcement.Check(a) != nil || g == nil || g.failover.Announced && !g.acceptAnnouncement(a) {
		return
	}
	if !slices.Contains(g.failover.Slots, a.GetSlot()) {
		return
	}
	g.dirty = g.dirty || stateChanged(g.servers[a.GetSlot()], a)
	g.servers[a.GetSlot()] = &server{announcement: a, lastHeard: now}
	g.failover.UpdateAnnouncement(statusOf(now, a))
}

func statusOf(now time.Time, a *wire.Announcement) promote.Status {
	return promote.Status{
		Slot: a.GetSlot(), Incarnation: a.GetIncarnation(), Primary: a.GetPrimary(), Term: a.GetTerm(),
		Position: session.FromWire(a.GetPosition()), Leaving: a.GetLeaving(), QueriedAt: now,
	}
}

// stateChanged reports whether an announcement differs from the last one in more than its position.
func stateChanged(old *server, a *wire.Announcement) bool {
	if old == nil {
		return true
	}
	o := old.announcement
	return o.GetIncarnation() != a.GetIncarnation() || o.GetAddress() != a.GetAddress() ||
		o.GetFailureDomain() != a.GetFailureDomain() || o.GetPrimary() != a.GetPrimary() ||
		o.GetTerm() != a.GetTerm() || o.GetLeaving() != a.GetLeaving() ||
		o.GetConcurrency() != a.GetConcurrency()
}

// recordObservations passes an owner's observations of primaries on to their groups.
func (l *Leader) recordObservations(now time.Time, r *wire.RenewRequest) {
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
			delete(g.unreachableFrom, r.GetVm())
		}
		g.failover.Observe(now, promote.Observation{
			VM: r.GetVm(), FailureDomain: r.GetFailureDomain(), Term: o.GetTerm(), Health: health,
		})
	}
}

// grants renews the leases that the VM holds and those of the groups that it owns.
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
		g := l.leases.Renew(now, r.GetVm(), name, held[name])
		if g != (lease.Grant{}) || held[name] != (lease.Holding{}) {
			grants = append(grants, &wire.Grant{Group: name, Term: g.Term, Connections: uint32(g.Connections)})
		}
	}
	return grants
}

// ReceiveStatus handles a server's answer to a status query.
func (l *Leader) ReceiveStatus(name string, s promote.Status) {
	if g := l.groups[name]; g != nil {
		g.failover.UpdateStatus(s)
		g.dirty = true
	}
}

// Address returns the last announced address of a slot's server, or "" if there is none.
func (l *Leader) Address(name, slot string) string {
	g := l.groups[name]
	if g == nil || g.servers[slot] == nil {
		return ""
	}
	return g.servers[slot].announcement.GetAddress()
}

// Urgency returns the urgency of a status query of a slot.
func (l *Leader) Urgency(now time.Time, name, slot string) promote.Urgency {
	if g := l.groups[name]; g != nil {
		return g.failover.Urgency(now, slot)
	}
	return promote.Routine
}

// Slots returns the number of slots of a group.
func (l *Leader) Slots(name string) int {
	if g := l.groups[name]; g != nil {
		return len(g.failover.Slots)
	}
	return 0
}

// Primary returns the recorded primary of a group.
func (l *Leader) Primary(name string) promote.Primary {
	if g := l.groups[name]; g != nil {
		return g.failover.Primary()
	}
	return promote.Primary{}
}

// Drain orders an entry VM to drain; the VM learns of it with its next renewal.
func (l *Leader) Drain(vm string) error {
	m := l.members[vm]
	if m == nil {
		return fmt.Errorf("entry VM %q is not up", vm)
	}
	m.drain = true
	return nil
}

func unknownGroupError(name string) error {
	return fmt.Errorf("database-group %q does not exist in the configuration in force", name)
}

// ForceFailover starts a change of primary at an operator's request.
func (l *Leader) ForceFailover(now time.Time, name, slot string, acceptLoss bool) error {
	l.applyConfiguration(now)
	g := l.groups[name]
	if g == nil {
		return unknownGroupError(name)
	}
	g.dirty = true
	return g.failover.ForceFailover(now, slot, acceptLoss)
}

// Announced reports whether a group's servers announce themselves.
func (l *Leader) Announced(name string) bool {
	g := l.groups[name]
	return g != nil && g.failover.Announced
}

// PromotionRefused handles a server's permanent refusal of its promotion to the recorded primary.
func (l *Leader) PromotionRefused(now time.Time, name string, p promote.Primary) {
	if g := l.groups[name]; g != nil {
		g.failover.PromotionRefused(now, p)
		g.dirty = true
	}
}
