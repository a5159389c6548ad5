// Package state is the state machine that the control VMs replicate: the versions of the
// configuration, the outcomes of publishes, and the primary of each group.
//
// It is a pure function of the log, so that equal logs give equal states:
//
//	m := state.New()
//	result := m.Apply(command)
//	objects, whole := m.ChangesSince(version)
package state
