package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/internal/frame"
)

const refusedStatement = "trefoilcourse refuses a change of session state"

// sent is a frame that was forwarded, with what its answer means here.
type sent struct {
	frame frame.Frame
	// hidden frames were added by the proxy; their answers are not passed on.
	hidden bool
	// name is the statement that a Parse makes known; empty for none.
	name string
	text string
}

// add takes a frame of the caller, with a Parse in front of it if the owner lacks a statement;
// session.mu is held.
func (x *exchange) add(f frame.Frame) []sent {
	var added []sent
	s := sent{frame: f}
	switch f.Type {
	case frame.Parse:
		var m pgproto3.Parse
		if m.Decode(f.Body) == nil {
			s.name, s.text = m.Name, m.Query
			x.known[m.Name] = true
		}
	case frame.Bind, frame.Describe:
		if parse, ok := x.missing(f); ok {
			added = append(added, parse)
		}
	case frame.Close:
		var m pgproto3.Close
		if m.Decode(f.Body) == nil && m.ObjectType == 'S' {
			delete(x.session.statements, m.Name)
			delete(x.known, m.Name)
		}
	}
	added = append(added, s)
	x.tracker.Sent(f)
	for _, a := range added {
		if a.frame.Type == frame.Parse {
			x.parses = append(x.parses, a)
		}
		x.keptSize += a.frame.Size()
	}
	if !x.complete {
		return added
	}
	x.kept = append(x.kept, added...)
	if x.keptSize > maxBatchBytes && x.stream != nil {
		x.complete = false
		x.kept = nil
	}
	return added
}

// missing returns the Parse of a statement that f uses and the owner has not been told of.
func (x *exchange) missing(f frame.Frame) (sent, bool) {
	name := ""
	if f.Type == frame.Bind {
		var m pgproto3.Bind
		if m.Decode(f.Body) == nil {
			name = m.PreparedStatement
		}
	} else {
		var m pgproto3.Describe
		if m.Decode(f.Body) == nil && m.ObjectType == 'S' {
			name = m.Name
		}
	}
	n, ok := x.session.statements[name]
	if name == "" || !ok || x.known[name] {
		return sent{}, false
	}
	x.known[name] = true
	return sent{frame: n.parse, hidden: true, name: name, text: n.text}, true
}

// refusedFrame replaces a change of session state by a statement that fails, so that the
// transaction it stands in fails as it would with a server's own refusal.
func refusedFrame(f frame.Frame) frame.Frame {
	if f.Type == frame.Query {
		return frame.Encode(&pgproto3.Query{String: refusedStatement})
	}
	var m pgproto3.Parse
	if m.Decode(f.Body) != nil {
		return f
	}
	return frame.Encode(&pgproto3.Parse{Name: m.Name, Query: refusedStatement})
}

// prepared takes note of a ParseComplete and reports whether it is hidden from the caller.
func (x *exchange) prepared() bool {
	if len(x.parses) == 0 {
		return false
	}
	first := x.parses[0]
	x.parses = x.parses[1:]
	if first.hidden {
		return true
	}
	if first.name != "" {
		x.session.statements[first.name] = named{parse: first.frame, text: first.text}
	}
	x.answered = true
	x.complete = false
	x.kept = nil
	return false
}

func (x *exchange) takeFloor(f frame.Frame) {
	var m pgproto3.ParameterStatus
	if m.Decode(f.Body) != nil || m.Name != settingFloor {
		return
	}
	if p, err := session.ParsePosition(m.Value); err == nil {
		x.session.floor = x.session.floor.Max(p)
		x.session.floorKnown = true
	}
}
