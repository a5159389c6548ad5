package setup

import (
	"maps"
	"slices"
)

// Connection is what a connection carries from its earlier uses.
type Connection struct {
	values   map[string]string
	prepared map[string]bool
}

// Setting is one value to be set.
type Setting struct {
	Name  string
	Value string
}

// Steps are to be carried out in the order of the fields.
type Steps struct {
	// Reset clears all values and prepared statements.
	Reset bool
	// Set lists the values to be set, by name.
	Set []Setting
	// Prepare is the definition of a statement to be prepared; empty prepares none.
	Prepare string
}

// Empty reports whether the connection is ready as it is.
func (s Steps) Empty() bool { return !s.Reset && len(s.Set) == 0 && s.Prepare == "" }

// Plan returns the steps after which a connection has exactly the values wanted, and the
// definition prepared if it is not empty.
func Plan(c Connection, wanted map[string]string, definition string) Steps {
	var s Steps
	for name := range c.values {
		if _, ok := wanted[name]; !ok {
			s.Reset = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		have, ok := c.values[name]
		if s.Reset || !ok || have != wanted[name] {
			s.Set = append(s.Set, Setting{name, wanted[name]})
		}
	}
	if definition != "" && (s.Reset || !c.prepared[definition]) {
		s.Prepare = definition
	}
	return s
}

// Apply returns what the connection carries after the steps.
func (c Connection) Apply(s Steps) Connection {
	next := Connection{values: maps.Clone(c.values), prepared: maps.Clone(c.prepared)}
	if s.Reset || next.values == nil {
		next.values = map[string]string{}
	}
	if s.Reset || next.prepared == nil {
		next.prepared = map[string]bool{}
	}
	for _, v := range s.Set {
		next.values[v.Name] = v.Value
	}
	if s.Prepare != "" {
		next.prepared[s.Prepare] = true
	}
	return next
}

// Distance returns how many steps a connection is from the values wanted.
func (c Connection) Distance(wanted map[string]string) int {
	s := Plan(c, wanted, "")
	if s.Reset {
		return len(c.prepared) + len(s.Set) + 1
	}
	return len(s.Set)
}
