// Package standin is a small stand-in for groups of backend servers, for tests and
// measurements.
//
// It speaks enough of PostgreSQL's protocol for pgx, keeps one table named ledger, replicates
// it asynchronously from a primary to replicas, and records what it ran in a Log against which
// callers' answers are judged. A Server is stopped and started like a machine: its data stays
// unless it is wiped.
//
//	group := &standin.Group{Name: "ledger-1", Slots: []standin.Slot{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
//	err := group.Run(ctx)
package standin
