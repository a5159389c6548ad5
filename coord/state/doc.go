// Package state implements the state machine that the control VMs replicate: the versions of the
// configuration, the outcomes of publishes, and the primary, owners and servers of each group.
//
// The state is a pure function of the log, so that equal logs give equal states:
//
//	m := state.New()
//	result, err := m.Apply(command)
//	objects, whole := m.ChangesSince(version)
package state
