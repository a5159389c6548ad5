// Package sessions keeps what callers' sessions consist of, whatever protocol they speak.
//
// A Session holds the values and prepared statements that its caller has set, the position that
// it has seen acknowledged, and the transaction that it is in. It answers what concerns only
// these itself, and has everything else run by an owner of the database's group:
//
//	s, ok := sessions.Open("orders")
//	answer := s.Do(ctx, statement.Statement{ID: "1", Text: "READ x", Kind: statement.Read})
//	s.Close()
package sessions
