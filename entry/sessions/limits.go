package sessions

import "trefoilcourse/entry/statement"

const (
	// maxStateBytes and maxStateNames limit the values and prepared statements of a session. A session may have one
	// of the largest message and many of usual size.
	maxStateBytes = 2 << 20
	maxStateNames = 2000
	// nameBytes is about what a name costs beside its text.
	nameBytes = 128
)

// StateBytes returns about how much memory the values and prepared statements of the session take.
func (s *Session) StateBytes() int { return s.stateBytes }

// keep stores a value or a prepared statement, and refuses what exceeds the limits of a session.
func (s *Session) keep(q statement.Statement) statement.Answer {
	added := nameBytes + len(q.Name) + len(q.Value) + len(q.Definition.Text)
	removed := 0
	if old, ok := s.values[q.Name]; ok && q.Kind == statement.Set {
		removed = nameBytes + len(q.Name) + len(old)
	}
	if old, ok := s.prepared[q.Name]; ok && q.Kind == statement.Prepare {
		removed = nameBytes + len(q.Name) + len(old.Text)
	}
	grown := s.stateBytes + added - removed
	if grown > maxStateBytes || removed == 0 && len(s.values)+len(s.prepared) >= maxStateNames {
		return refuse(statement.NotRun, "the values and prepared statements of the session exceed 2 MiB or 2000 names")
	}
	s.stateBytes = grown
	if q.Kind == statement.Set {
		s.values[q.Name] = q.Value
	} else {
		s.prepared[q.Name] = q.Definition
	}
	return statement.Answer{Outcome: statement.Done}
}

// drop removes a prepared statement.
func (s *Session) drop(name string) {
	s.stateBytes -= nameBytes + len(name) + len(s.prepared[name].Text)
	delete(s.prepared, name)
}
