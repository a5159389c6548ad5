// Package setup says how a shared connection is made ready for a session.
//
// A connection keeps the values and the prepared statements of whoever used it before. Plan
// compares them with what a session has set, and returns the least to be done before one of its
// statements may run there:
//
//	plan := setup.Plan(connection, session.Values(), definition)
//	connection = plan.Apply(connection)
//
// Prepared statements are known by their definitions, not by the names that sessions give them,
// so that names cannot collide and one preparation serves every session.
package setup
