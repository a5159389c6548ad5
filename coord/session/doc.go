// Package session defines log positions of a database group and the floors that give a session
// monotonic reads.
//
// A floor is the highest position that a session may have read or written. A server has everything
// up to the floor if its position is not less than it in (term, offset) order:
//
//	floor := session.Position{Term: 3, Offset: 1200}
//	usable := !server.Position.Less(floor)
package session
