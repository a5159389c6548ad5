package view

import (
	"time"

	"trefoilcourse/coord/workspace"
)

// Admit decides on a new session with a database; key is the digest of the caller's key. lifetime is
// how long a removed key may be accepted.
func (v *View) Admit(database, key string, lifetime time.Duration) (workspace.Caller, workspace.Refusal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys.Admit(v.now(), lifetime, key, v.set.Databases[database].Public)
}

// CheckCaller decides on a statement of a session, and returns the identity under which it runs.
func (v *View) CheckCaller(database string, c workspace.Caller, lifetime time.Duration) (workspace.Caller, workspace.Refusal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys.Check(v.now(), lifetime, c, v.set.Databases[database].Public)
}

// KeyAge returns how long ago the keys were last known to be in force.
func (v *View) KeyAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys.Age(v.now())
}
