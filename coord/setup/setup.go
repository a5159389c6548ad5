package setup

import (
	"maps"
	"slices"
)

// Connection is the session state that a connection has kept from earlier uses.
type Connection struct {
	settings map[string]string
	prepared map[string]bool
}

// Setting is the name and value of one session setting.
type Setting struct {
	Name  string
	Value string
}

// Steps prepare a connection; they are executed in the order of the fields.
type Steps struct {
	// Reset clears all settings and prepared statements.
	Reset bool
	// Set lists the settings to apply, sorted by name.
	Set []Setting
	// Prepare is the definition of a statement to prepare, or empty.
	Prepare string
}

// Empty reports whether the connection needs no preparation.
func (s Steps) Empty() bool { return !s.Reset && len(s.Set) == 0 && s.Prepare == "" }

// Plan returns the steps that give a connection exactly the wanted settings and, if definition is
// not empty, the prepared statement.
func Plan(c Connection, wanted map[string]string, definition string) Steps {
	var s Steps
	for name := range c.settings {
		if _, ok := wanted[name]; !ok {
			s.Reset = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		current, ok := c.settings[name]
		if s.Reset || !ok || current != wanted[name] {
			s.Set = append(s.Set, Setting{name, wanted[name]})
		}
	}
	if definition != "" && (s.Reset || !c.prepared[definition]) {
		s.Prepare = definition
	}
	return s
}

// Apply returns the state of the connection after the steps.
func (c Connection) Apply(s Steps) Connection {
	next := Connection{settings: maps.Clone(c.settings), prepared: maps.Clone(c.prepared)}
	if s.Reset || next.settings == nil {
		next.settings = map[string]string{}
	}
	if s.Reset || next.prepared == nil {
		next.prepared = map[string]bool{}
	}
	for _, v := range s.Set {
		next.settings[v.Name] = v.Value
	}
	if s.Prepare != "" {
		next.prepared[s.Prepare] = true
	}
	return next
}

// Distance returns the number of operations that give a connection the wanted settings; a reset also
// counts the prepared statements that it discards.
func (c Connection) Distance(wanted map[string]string) int {
	s := Plan(c, wanted, "")
	if s.Reset {
		return len(c.prepared) + len(s.Set) + 1
	}
	return len(s.Set)
}
