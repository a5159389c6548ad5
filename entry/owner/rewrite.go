package owner

import (
	"fmt"
	"hash/fnv"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/statement"
	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
)

// noStatement is a name that is never prepared; closing it is answered and changes nothing.
const noStatement = "trefoil_none"

// preparedName is what a caller's named statement is called on shared connections.
type preparedName struct {
	shared string
	text   string
}

// reply says what is to be done with the server's answer to a frame that was rewritten.
type reply struct {
	// as is the type that a CloseComplete is turned into; 0 leaves it.
	as byte
	// prepares is the statement that a ParseComplete makes known; empty means none.
	prepares string
}

// rewriter gives callers' named statements names that are the same on every connection, and
// prepares nothing twice. It remembers which answers belong to which frames.
type rewriter struct {
	names   map[string]preparedName
	replies []reply
}

func sharedName(m *pgproto3.Parse) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		_, _ = fmt.Fprintf(h, "/%d", oid)
	}
	return fmt.Sprintf("trefoil_%x", h.Sum(nil))
}

// rewrite returns the frame to send on conn in place of f.
func (r *rewriter) rewrite(f frame.Frame, conn *backend.Conn) (frame.Frame, error) {
	switch f.Type {
	case frame.Parse:
		return r.parse(f, conn)
	case frame.Bind:
		var m pgproto3.Bind
		if err := m.Decode(f.Body); err != nil {
			return f, err
		}
		if m.PreparedStatement == "" {
			return f, nil
		}
		m.PreparedStatement = r.shared(m.PreparedStatement)
		return frame.Encode(&m), nil
	case frame.Describe:
		var m pgproto3.Describe
		if err := m.Decode(f.Body); err != nil {
			return f, err
		}
		if m.ObjectType != 'S' || m.Name == "" {
			return f, nil
		}
		m.Name = r.shared(m.Name)
		return frame.Encode(&m), nil
	case frame.Close:
		var m pgproto3.Close
		if err := m.Decode(f.Body); err != nil {
			return f, err
		}
		r.replies = append(r.replies, reply{})
		if m.ObjectType != 'S' || m.Name == "" {
			return f, nil
		}
		delete(r.names, m.Name)
		return frame.Encode(&pgproto3.Close{ObjectType: 'S', Name: noStatement}), nil
	}
	return f, nil
}

func (r *rewriter) shared(name string) string {
	if known, ok := r.names[name]; ok {
		return known.shared
	}
	return noStatement
}

func (r *rewriter) parse(f frame.Frame, conn *backend.Conn) (frame.Frame, error) {
	var m pgproto3.Parse
	if err := m.Decode(f.Body); err != nil {
		return f, err
	}
	if m.Name == "" {
		r.replies = append(r.replies, reply{})
		return f, nil
	}
	shared := sharedName(&m)
	r.names[m.Name] = preparedName{shared: shared, text: m.Query}
	if conn.Prepared(shared) {
		r.replies = append(r.replies, reply{as: frame.ParseComplete})
		return frame.Encode(&pgproto3.Close{ObjectType: 'S', Name: noStatement}), nil
	}
	r.replies = append(r.replies, reply{prepares: shared})
	m.Name = shared
	return frame.Encode(&m), nil
}

// answered turns a server's frame into the one that the caller expects.
func (r *rewriter) answered(f frame.Frame, conn *backend.Conn) frame.Frame {
	switch f.Type {
	case frame.ParseComplete, frame.CloseComplete:
		if len(r.replies) == 0 {
			return f
		}
		first := r.replies[0]
		r.replies = r.replies[1:]
		if first.prepares != "" {
			conn.SetPrepared(first.prepares)
		}
		if first.as != 0 {
			return frame.Frame{Type: first.as}
		}
	}
	return f
}

// mayCommit reports whether a frame could end a transaction.
func (r *rewriter) mayCommit(f frame.Frame) bool {
	switch f.Type {
	case frame.Query:
		return statement.MayCommit(string(f.Body))
	case frame.Parse:
		var m pgproto3.Parse
		return m.Decode(f.Body) != nil || statement.MayCommit(m.Query)
	case frame.Bind:
		var m pgproto3.Bind
		return m.Decode(f.Body) != nil || statement.MayCommit(r.names[m.PreparedStatement].text)
	case frame.FunctionCall:
		return true
	}
	return false
}
