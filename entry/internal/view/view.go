package view

import (
	"slices"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/directory"
	"trefoilcourse/coord/lease"
	"trefoilcourse/coord/workspace"
	"trefoilcourse/wire"
	"trefoilcourse/wire/packed"
)

const (
	// ConfirmWithin is how long an entry VM accepts work after the control leader last confirmed its
	// configuration.
	ConfirmWithin = 6 * time.Second
	// OutdatedAfter is how long an entry VM accepts work after it learns that a newer configuration is
	// in force: operators expect a change everywhere within three seconds of its acknowledgement.
	OutdatedAfter = 2 * time.Second
)

// View is the state that an entry VM receives from the control leader. It is safe for concurrent use.
type View struct {
	// Clock returns the time by which leases end; nil means clock.Now.
	Clock func() time.Time

	mu        sync.Mutex
	holder    lease.Holder
	set       *config.Set
	version   uint64
	epoch     uint64
	revision  uint64
	directory directory.Contents
	// controlTerm is that of the last applied renewal.
	controlTerm      uint64
	controlAddresses []string
	changed          chan struct{}
	// outdatedSince is when a newer configuration was first known to be in force, or zero.
	outdatedSince time.Time
	keys          workspace.View
}

// New returns an empty view.
func New() *View {
	return &View{
		set: config.NewSet(), changed: make(chan struct{}),
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

// FillVersions sets the configuration and directory versions of a renewal to those of this view.
func (v *View) FillVersions(request *wire.RenewRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	request.ConfigurationVersion = v.version
	request.DirectoryEpoch = v.epoch
	request.DirectoryRevision = v.revision
	request.TakesParts = true
	if v.epoch != v.controlTerm && v.epoch > 0 {
		request.DirectoryDigests = v.directory.Digests()
	}
}

// ApplyRenewal applies the response to a renewal that was sent at the given time. It reports false for
// a response from an earlier leader than one already heard, which changes nothing, and for one whose
// directory does not decode.
func (v *View) ApplyRenewal(sentAt time.Time, response *wire.RenewResponse) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	grants := map[string]lease.Grant{}
	for _, g := range response.GetGrants() {
		grants[g.GetGroup()] = lease.Grant{Term: g.GetTerm(), Connections: int(g.GetConnections())}
	}
	duration := time.Duration(response.GetLeaseMilliseconds()) * time.Millisecond
	if !v.holder.ApplyGrants(sentAt, response.GetControlTerm(), duration, grants) {
		return false
	}
	if !response.GetChangesApart() {
		v.applyObjects(response.GetConfigurationVersion(), response.GetConfigurationWhole(), response.GetObjects())
	}
	v.updateOutdatedSince(sentAt, response.GetConfigurationVersion())
	v.keys.Confirm(sentAt, response.GetConfigurationVersion())
	applied := v.applyDirectory(response)
	if addresses := response.GetControlAddresses(); len(addresses) > 0 {
		v.controlAddresses = addresses
	}
	v.notify()
	return applied
}

// ApplyChanges applies changes that were requested separately from a renewal, and returns the number of
// their objects. Changes that lead to no newer configuration are ignored.
func (v *View) ApplyChanges(response *wire.ChangesResponse) (int, error) {
	changes := &wire.Objects{}
	if err := packed.Unmarshal(response.GetPacked(), changes); err != nil {
		return 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyObjects(response.GetVersion(), response.GetWhole(), changes.GetObjects())
	v.notify()
	return len(changes.GetObjects()), nil
}

// applyObjects applies a newer configuration. Older ones are ignored, so that the configuration
// never goes back while the process runs.
func (v *View) applyObjects(version uint64, full bool, objects []*wire.Object) {
	if version <= v.version {
		return
	}
	v.set.ApplyChanges(objects, full)
	v.version = version
	v.outdatedSince = time.Time{}
	v.keys.Configure(version, v.set.Workspaces)
}

// updateOutdatedSince records the version that was in force when a renewal was sent.
func (v *View) updateOutdatedSince(sentAt time.Time, inForce uint64) {
	switch {
	case inForce <= v.version:
		v.outdatedSince = time.Time{}
	case v.outdatedSince.IsZero():
		v.outdatedSince = sentAt
	}
}

// applyDirectory applies directory changes. It reports false for ones that do not decode; the next
// renewal then asks for the same again.
func (v *View) applyDirectory(response *wire.RenewResponse) bool {
	v.controlTerm = response.GetControlTerm()
	if v.directory.Apply(response) != nil {
		return false
	}
	if response.GetDirectoryEpoch() > 0 {
		v.epoch, v.revision = response.GetDirectoryEpoch(), response.GetDirectoryRevision()
	}
	return true
}

// Confirmed reports whether the configuration and the directory may be used.
func (v *View) Confirmed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version > 0 && v.epoch > 0 && v.now().Sub(v.holder.Confirmed()) < ConfirmWithin && !v.outdated()
}

// Outdated reports whether a newer configuration has been in force for too long to keep using the
// one in this view.
func (v *View) Outdated() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.outdated()
}

func (v *View) outdated() bool {
	return !v.outdatedSince.IsZero() && v.now().Sub(v.outdatedSince) >= OutdatedAfter
}

// ConfirmationAge returns the time since the last answered renewal was sent.
func (v *View) ConfirmationAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now().Sub(v.holder.Confirmed())
}

// Version returns the configuration version of this view.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// Group returns the directory's state of a group, or nil if the group does not exist.
func (v *View) Group(name string) *wire.GroupState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Group(name)
}

// GroupConfig returns a group's configuration object and resolved read policy.
func (v *View) GroupConfig(name string) (config.DatabaseGroup, config.ResolvedReadPolicy, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g, ok := v.set.Groups[name]
	return g, v.set.ReadPolicyOf(name), ok
}

// ControlAddresses returns the last known addresses of the control VMs.
func (v *View) ControlAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.controlAddresses
}

// Database returns a named database with its group and the staleness allowed for its reads.
func (v *View) Database(name string) (d config.Database, g config.DatabaseGroup, staleness time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d, ok = v.set.Databases[name]
	return d, v.set.Groups[d.Group], v.set.MaxStalenessOf(d), ok
}

// Capped reports whether a workspace has a usage cap.
func (v *View) Capped(workspace string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.set.Workspaces[workspace].OperationsPerSecond > 0
}

// HasWorkspace reports whether a workspace is configured.
func (v *View) HasWorkspace(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.set.Workspaces[name]
	return ok
}

// ServiceOf returns the service of a group and its objective; ok is false if it has no objective.
func (v *View) ServiceOf(group string) (string, config.Objective, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := v.set.ServiceOf(group)
	objective, ok := v.set.Objectives[v.set.Services[name].Objective]
	return name, objective, ok
}

// Member returns an entry VM that owns groups or did so lately, or nil.
func (v *View) Member(vm string) *wire.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Member(vm)
}

// AckTerm returns the term in which this VM may acknowledge writes of a group, or 0.
func (v *View) AckTerm(group string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Term(v.now(), group)
}

// Connections returns how many connections to a group's servers this VM may have open now.
func (v *View) Connections(group string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder.Connections(v.now(), group)
}

// Leased reports whether this VM holds a lease on a group.
func (v *View) Leased(group string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now().Before(v.holder.Expiry(group))
}

// LeasedGroups returns the names of the groups with a lease, sorted.
func (v *View) LeasedGroups() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := v.holder.Groups(v.now())
	slices.Sort(names)
	return names
}

// Release gives up the right to acknowledge writes of a group in a term until Restore.
func (v *View) Release(group string, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holder.Release(group, term)
}

// Restore ends a release for grants of later renewals; a term granted before stays released.
func (v *View) Restore(group string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holder.Restore(group)
}
