// Package sessions manages the state of callers' sessions, independent of the wire protocol.
//
// A Session holds its caller's settings and prepared statements, the position of its last
// acknowledged write, and its current transaction. It handles statements that concern only this
// state, and sends all others to an owner of the database's group:
//
//	s, answer := sessions.Open(ctx, "orders", key)
//	answer = s.Do(ctx, statement.Statement{ID: "1", Text: "READ x", Kind: statement.Read})
//	s.Close()
package sessions
