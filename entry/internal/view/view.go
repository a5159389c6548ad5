package view

import (
	"maps"
	"slices"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/lease"
	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

const (
	// ConfirmWithin is how long an entry VM takes work by what the control leader last confirmed.
	ConfirmWithin = 6 * time.Second
	// OutdatedAfter is how long it takes work by an older configuration than it knows to be in
	// force: operators expect a change everywhere within three seconds of its acknowledgement.
	OutdatedAfter = 2 * time.Second
)

// View is safe for concurrent use.
type View struct {
	// Clock tells the time by which leases end; nil means clock.Now.
	Clock func() time.Time

	mu               sync.Mutex
	holder           lease.Holder
	set              *config.Set
	version          uint64
	epoch            uint64
	revision         uint64
	members          map[string]*wire.Member
	groups           map[string]*wire.GroupState
	controlAddresses []string
	changed          chan struct{}
	// outdatedSince is since when a newer configuration is known to be in force, or zero.
	outdatedSince time.Time
}

// New returns a view that knows nothing.
func New() *View {
	return &View{
		set: config.Empty(), members: map[string]*wire.Member{},
		groups: map[string]*wire.GroupState{}, changed: make(chan struct{}),
	}
}

func (v *View) now() time.Time {
	if v.Clock == nil {
		return clock.Now()
	}
	return v.Clock()
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// FillVersions sets what a RenewRequest says of this view.
func (v *View) FillVersions(r *wire.RenewRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.ConfigurationVersion = v.version
	r.DirectoryEpoch = v.epoch
	r.DirectoryRevision = v.revision
}

// ApplyRenewal takes over the answer to a question asked at asked, and reports false for one of an
// earlier leader than has been heard.
func (v *View) ApplyRenewal(asked time.Time, r *wire.RenewResponse) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	grants := map[string]lease.Grant{}
	for _, g := range r.GetGrants() {
		grants[g.GetGroup()] = lease.Grant{Term: g.GetTerm(), Connections: int(g.GetConnections())}
	}
	duration := time.Duration(r.GetLeaseMilliseconds()) * time.Millisecond
	if !v.holder.Answered(asked, r.GetControlTerm(), duration, grants) {
		return false
	}
	if !r.GetChangesApart() {
		v.applyObjects(r.GetConfigurationVersion(), r.GetConfigurationWhole(), r.GetObjects())
	}
	v.updateOutdatedSince(asked, r.GetConfigurationVersion())
	v.applyDirectory(r)
	if c := r.GetControlAddresses(); len(c) > 0 {
		v.controlAddresses = c
	}
	v.notify()
	return true
}

// ApplyChanges takes over changes that were asked for by themselves, and returns how many objects they
// are; those that lead to no newer configuration change nothing.
func (v *View) ApplyChanges(r *wire.ChangesResponse) (int, error) {
	changes := &wire.Objects{}
	if err := packed.Unmarshal(r.GetPacked(), changes); err != nil {
		return 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyObjects(r.GetVersion(), r.GetWhole(), changes.GetObjects())
	v.notify()
	return len(changes.GetObjects()), nil
}

// applyObjects takes over a newer configuration; one that has been overtaken changes nothing, so
// that nothing is undone within the life of a process.
func (v *View) applyObjects(version uint64, whole bool, objects []*wire.Object) {
	if version <= v.version {
		return
	}
	v.set.Take(objects, whole)
	v.version = version
	v.outdatedSince = time.Time{}
}

// updateOutdatedSince takes note of the version in force when a question was asked.
func (v *View) updateOutdatedSince(asked time.Time, inForce uint64) {
	switch {
	case inForce <= v.version:
		v.outdatedSince = time.Time{}
	case v.outdatedSince.IsZero():
		v.outdatedSince = asked
	}
}

func (v *View) applyDirectory(r *wire.RenewResponse) {
	if r.GetDirectoryEpoch() == 0 {
		return
	}
	if r.GetDirectoryWhole() {
		clear(v.members)
		clear(v.groups)
	}
	for _, m := range r.GetMembers() {
		if m.GetGone() {
			delete(v.members, m.GetVm())
		} else {
			v.members[m.GetVm()] = m
		}
	}
	for _, g := range r.GetGroups() {
		if g.GetGone() {
			delete(v.groups, g.GetGroup())
		} else {
			v.groups[g.GetGroup()] = g
		}
	}
	v.epoch = r.GetDirectoryEpoch()
	v.revision = r.GetDirectoryRevision()
}

// Confirmed reports whether the configuration and the directory may be acted on.
func (v *View) Confirmed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version > 0 && v.epoch > 0 && v.now().Sub(v.holder.Confirmed()) < ConfirmWithin && !v.outdated()
}

// Outdated reports whether a newer configuration has been in force for too long to go on by the
// one that is known here.
func (v *View) Outdated() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outdated()
}

func (v *View) outdated() bool {
	return !v.outdatedSince.IsZero() && v.now().Sub(v.outdatedSince) >= OutdatedAfter
}

// ConfirmationAge returns how long ago the question was asked whose answer was the last.
func (v *View) ConfirmationAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now().Sub(v.holder.Confirmed())
}

// Version returns the configuration version in force here.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// Group returns where a group is; nil means that it does not exist.
func (v *View) Group(name string) *wire.GroupState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.groups[name]
}

// GroupConfig returns a group's object and resolved read policy.
func (v *View) GroupConfig(name string) (config.DatabaseGroup, config.Reading, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g, ok := v.set.Groups[name]
	return g, v.set.ReadingOf(name), ok
}

// ControlAddresses returns where the control VMs were last known to listen.
func (v *View) ControlAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.controlAddresses
}

// Database returns a named database with its group and the age that its reads may have.
func (v *View) Database(name string) (d config.Database, g config.DatabaseGroup, staleness time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d, ok = v.set.Databases[name]
	return d, v.set.Groups[d.Group], v.set.StalenessOf(d), ok
}

// ServiceOf returns the service of a group and its objective, if it has one.
func (v *View) ServiceOf(group string) (string, config.Objective, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := v.set.ServiceOf(group)
	objective, ok := v.set.Objectives[v.set.Services[name].Objective]
	return name, objective, ok
}

// Member returns an entry VM that is up, or nil.
func (v *View) Member(vm string) *wire.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[vm]
}

// Members returns the entry VMs that are up, by name.
func (v *View) Members() []*wire.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := make([]*wire.Member, 0, len(v.members))
	for _, vm := range slices.Sorted(maps.Keys(v.members)) {
		members = append(members, v.members[vm])
	}
	return members
}

// AckTerm returns the term in which this VM may acknowledge writes of a group, or 0.
func (v *View) AckTerm(group string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Term(v.now(), group)
}

// Connections returns how many connections of a group this VM may have open now.
func (v *View) Connections(group string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Connections(v.now(), group)
}

// Leased reports whether this VM has a lease on a group.
func (v *View) Leased(group string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now().Before(v.holder.Until(group))
}

// LeasedGroups returns the groups with a lease, by name.
func (v *View) LeasedGroups() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := v.holder.Groups(v.now())
	slices.Sort(names)
	return names
}

// Release gives up acknowledging writes of a group in a term until Restore.
func (v *View) Release(group string, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holder.Release(group, term)
}

// Restore takes a release back for grants to come; one that was given before does not count.
func (v *View) Restore(group string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holder.Restore(group)
}
