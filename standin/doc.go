// Package standin simulates groups of backend servers for tests and measurements.
//
// It implements enough of the PostgreSQL protocol for pgx, holds one table named ledger, and
// replicates it asynchronously from a primary to replicas. An ActivityLog records the statements
// that ran, so that the answers of callers can be verified against it. A Server can be stopped
// and restarted; its data is kept unless it is wiped.
//
//	group := &standin.Group{Name: "ledger-1", Slots: []standin.Slot{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
//	err := group.Run(ctx)
package standin
