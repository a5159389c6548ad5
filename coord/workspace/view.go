package workspace

import (
	"time"

	"trefoilcourse/coord/config"
)

// Refusal says why a caller may not run statements; None if it may.
type Refusal string

// The refusals.
const (
	None Refusal = ""
	// UnknownKey means that no workspace has the key.
	UnknownKey Refusal = "unknown-key"
	// KeyRemoved means that the key was removed, or moved to another workspace, after the session began.
	KeyRemoved Refusal = "key-removed"
	// KeysOutdated means that the keys were last known to be in force too long ago.
	KeysOutdated Refusal = "keys-outdated"
)

// Caller is the identity of a session.
type Caller struct {
	// Key is the digest of what the caller presented as its key.
	Key string
	// Workspace is empty if the caller needed no key.
	Workspace string
}

// View is a VM's knowledge of the keys. Its zero value knows none.
type View struct {
	version uint64
	owners  map[string]string
	// confirmedAt is the latest time at which the keys were known to be in force.
	confirmedAt time.Time
	// newerVersion was in force at newerAt, but its keys are not known yet.
	newerVersion uint64
	newerAt      time.Time
}

// Configure replaces the keys by those of a version of the configuration.
func (v *View) Configure(version uint64, workspaces map[string]config.Workspace) {
	v.version = version
	v.owners = map[string]string{}
	for name, w := range workspaces {
		for _, key := range w.Keys {
			v.owners[key] = name
		}
	}
	if v.newerVersion > 0 && v.newerVersion <= version {
		// The version was in force when the renewal that named it was sent.
		v.confirm(v.newerAt)
		v.newerVersion = 0
	}
}

// Confirm records that a version was in force when a renewal was sent. That time counts instead of the
// one of the answer, since a change may have been acknowledged while the answer was on its way.
func (v *View) Confirm(sentAt time.Time, version uint64) {
	if version <= v.version {
		v.confirm(sentAt)
		return
	}
	if version > v.newerVersion || version == v.newerVersion && sentAt.After(v.newerAt) {
		v.newerVersion, v.newerAt = version, sentAt
	}
}

func (v *View) confirm(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// Age returns how long ago the keys were last known to be in force.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.confirmedAt) }

// outdated reports whether the keys may not be relied on: a tenth of their lifetime is left for a
// statement that is on its way from its caller.
func (v *View) outdated(now time.Time, lifetime time.Duration) bool {
	return v.Age(now) >= lifetime-lifetime/10
}

// Admit decides on a new session with a database.
func (v *View) Admit(now time.Time, lifetime time.Duration, key string, public bool) (Caller, Refusal) {
	c := Caller{Key: key}
	if public || len(v.owners) == 0 {
		return c, None
	}
	if v.outdated(now, lifetime) {
		return Caller{}, KeysOutdated
	}
	c.Workspace = v.owners[key]
	if c.Workspace == "" {
		return Caller{}, UnknownKey
	}
	return c, None
}

// Check decides on a statement of a session, and returns the identity under which it runs. A session
// that began without a workspace gets that of its key once its database needs one.
func (v *View) Check(now time.Time, lifetime time.Duration, c Caller, public bool) (Caller, Refusal) {
	if public {
		return Caller{Key: c.Key}, None
	}
	if c.Workspace == "" && len(v.owners) == 0 {
		return c, None
	}
	if v.outdated(now, lifetime) {
		return c, KeysOutdated
	}
	owner := v.owners[c.Key]
	if owner == "" || c.Workspace != "" && owner != c.Workspace {
		return c, KeyRemoved
	}
	c.Workspace = owner
	return c, None
}
