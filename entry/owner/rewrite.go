package owner

import (
	"fmt"
	"hash/fnv"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/statement"
	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
)

// unusedStatement is a name that is never prepared; closing it succeeds and has no effect.
const unusedStatement = "trefoil_none"

// preparedStatement is a caller's named statement with its name on shared connections.
type preparedStatement struct {
	sharedName string
	query      string
}

// expectedReply says how to handle the server's reply to a Parse or Close frame.
type expectedReply struct {
	// replacement is the frame type sent to the caller instead; 0 keeps the type.
	replacement byte
	// prepared is the shared name that a ParseComplete confirms as prepared, or empty.
	prepared string
}

// rewriter maps the names of callers' prepared statements to names that are the same on every
// connection, and prepares each statement only once per connection. It matches replies to the
// frames that they answer.
type rewriter struct {
	statements map[string]preparedStatement
	expected   []expectedReply
}

// sharedName derives a statement's shared name from a hash of its text and parameter types.
func sharedName(parse *pgproto3.Parse) string {
	hash := fnv.New128a()
	_, _ = hash.Write([]byte(parse.Query))
	for _, oid := range parse.ParameterOIDs {
		_, _ = fmt.Fprintf(hash, "/%d", oid)
	}
	return fmt.Sprintf("trefoil_%x", hash.Sum(nil))
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
		m.PreparedStatement = r.sharedNameOf(m.PreparedStatement)
		return frame.Encode(&m), nil
	case frame.Describe:
		var m pgproto3.Describe
		if err := m.Decode(f.Body); err != nil {
			return f, err
		}
		if m.ObjectType != 'S' || m.Name == "" {
			return f, nil
		}
		m.Name = r.sharedNameOf(m.Name)
		return frame.Encode(&m), nil
	case frame.Close:
		var m pgproto3.Close
		if err := m.Decode(f.Body); err != nil {
			return f, err
		}
		r.expected = append(r.expected, expectedReply{})
		if m.ObjectType != 'S' || m.Name == "" {
			return f, nil
		}
		delete(r.statements, m.Name)
		return frame.Encode(&pgproto3.Close{ObjectType: 'S', Name: unusedStatement}), nil
	}
	return f, nil
}

func (r *rewriter) sharedNameOf(name string) string {
	if statement, ok := r.statements[name]; ok {
		return statement.sharedName
	}
	return unusedStatement
}

func (r *rewriter) parse(f frame.Frame, conn *backend.Conn) (frame.Frame, error) {
	var m pgproto3.Parse
	if err := m.Decode(f.Body); err != nil {
		return f, err
	}
	if m.Name == "" {
		r.expected = append(r.expected, expectedReply{})
		return f, nil
	}
	shared := sharedName(&m)
	r.statements[m.Name] = preparedStatement{sharedName: shared, query: m.Query}
	if conn.Prepared(shared) {
		r.expected = append(r.expected, expectedReply{replacement: frame.ParseComplete})
		return frame.Encode(&pgproto3.Close{ObjectType: 'S', Name: unusedStatement}), nil
	}
	r.expected = append(r.expected, expectedReply{prepared: shared})
	m.Name = shared
	return frame.Encode(&m), nil
}

// rewriteReply translates a frame from the server into the one that the caller expects.
func (r *rewriter) rewriteReply(f frame.Frame, conn *backend.Conn) frame.Frame {
	switch f.Type {
	case frame.ParseComplete, frame.CloseComplete:
		if len(r.expected) == 0 {
			return f
		}
		reply := r.expected[0]
		r.expected = r.expected[1:]
		if reply.prepared != "" {
			conn.MarkPrepared(reply.prepared)
		}
		if reply.replacement != 0 {
			return frame.Frame{Type: reply.replacement}
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
		return m.Decode(f.Body) != nil || statement.MayCommit(r.statements[m.PreparedStatement].query)
	case frame.FunctionCall:
		return true
	}
	return false
}
