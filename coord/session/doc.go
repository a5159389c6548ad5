// Package session holds positions in a group's history and the floors that keep a session's
// reads from going back in time.
//
// A floor is the highest position that a session may have seen or written. A server whose
// position is not below the floor, in (term, offset) order, holds all of it:
//
//	floor := session.Position{Term: 3, Offset: 1200}
//	usable := !server.Position.Less(floor)
package session
