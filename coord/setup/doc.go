// Package setup plans how a pooled connection is prepared for a session.
//
// A connection keeps the settings and prepared statements of the session that used it before.
// Plan compares them with those of the next session, and returns the steps that are needed before
// one of its statements may run there:
//
//	plan := setup.Plan(connection, session.Values(), definition)
//	connection = plan.Apply(connection)
//
// Prepared statements are identified by their definitions, not by the names that sessions give
// them, so that names cannot collide and all sessions share one preparation.
package setup
