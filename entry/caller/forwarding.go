package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/internal/frame"
)

const failingStatement = "trefoilcourse refuses a change of session state"

// forwardedFrame is a frame that was forwarded, with what its answer means here.
type forwardedFrame struct {
	frame frame.Frame
	// hidden frames were added by the proxy; their answers are not relayed.
	hidden bool
	// name is the statement that a Parse prepares; empty for none.
	name string
	text string
}

// add records a frame of the caller, preceded by a Parse if the owner lacks the statement that it
// uses; connection.mu is held.
func (x *exchange) add(f frame.Frame) []forwardedFrame {
	var added []forwardedFrame
	s := forwardedFrame{frame: f}
	switch f.Type {
	case frame.Parse:
		var m pgproto3.Parse
		if m.Decode(f.Body) == nil {
			s.name, s.text = m.Name, m.Query
			x.ownerStatements[m.Name] = true
		}
	case frame.Bind, frame.Describe:
		if parse, ok := x.missingParse(f); ok {
			added = append(added, parse)
		}
	case frame.Close:
		var m pgproto3.Close
		if m.Decode(f.Body) == nil && m.ObjectType == 'S' {
			x.connection.forget(m.Name)
			delete(x.ownerStatements, m.Name)
		}
	}
	added = append(added, s)
	x.tracker.Sent(f)
	for _, a := range added {
		if a.frame.Type == frame.Parse {
			x.pendingParses = append(x.pendingParses, a)
		}
		x.forwardedBytes += a.frame.Size()
	}
	if !x.replayable {
		return added
	}
	x.replayFrames = append(x.replayFrames, added...)
	if x.forwardedBytes > maxBatchBytes && x.stream != nil {
		x.replayable = false
		x.replayFrames = nil
	}
	return added
}

// missingParse returns the Parse of a statement that f uses and the owner has not received.
func (x *exchange) missingParse(f frame.Frame) (forwardedFrame, bool) {
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
	n, ok := x.connection.statements[name]
	if name == "" || !ok || x.ownerStatements[name] {
		return forwardedFrame{}, false
	}
	x.ownerStatements[name] = true
	return forwardedFrame{frame: n.parse, hidden: true, name: name, text: n.text}, true
}

// failingFrame replaces a change of session state by a statement that fails on the server, so that
// its transaction fails as after any server error.
func failingFrame(f frame.Frame) frame.Frame {
	if f.Type == frame.Query {
		return frame.Encode(&pgproto3.Query{String: failingStatement})
	}
	var m pgproto3.Parse
	if m.Decode(f.Body) != nil {
		return f
	}
	return frame.Encode(&pgproto3.Parse{Name: m.Name, Query: failingStatement})
}

// parseCompleted records a ParseComplete and reports whether it is hidden from the caller.
func (x *exchange) parseCompleted() bool {
	if len(x.pendingParses) == 0 {
		return false
	}
	first := x.pendingParses[0]
	x.pendingParses = x.pendingParses[1:]
	if first.hidden {
		return true
	}
	if first.name != "" {
		x.connection.remember(first.name, preparedStatement{parse: first.frame, text: first.text})
	}
	x.answered = true
	x.replayable = false
	x.replayFrames = nil
	return false
}

// remember keeps a prepared statement; mu is held.
func (c *connection) remember(name string, p preparedStatement) {
	c.forget(name)
	c.statements[name] = p
	c.preparedBytes += p.size()
}

// forget drops a prepared statement; mu is held.
func (c *connection) forget(name string) {
	if old, ok := c.statements[name]; ok {
		c.preparedBytes -= old.size()
		delete(c.statements, name)
	}
}

func (x *exchange) recordFloor(f frame.Frame) {
	var m pgproto3.ParameterStatus
	if m.Decode(f.Body) != nil || m.Name != settingFloor {
		return
	}
	if p, err := session.ParsePosition(m.Value); err == nil {
		x.connection.floor = x.connection.floor.Max(p)
		x.connection.floorKnown = true
	}
}
