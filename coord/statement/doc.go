// Package statement classifies SQL statements for routing by their first words.
//
// It does not parse SQL. An unrecognized statement is classified as a write, which is always safe.
// Reads run in read-only transactions, so that the server rejects a read that turns out to write,
// and it is run again as a write.
//
//	statement.Classify("select body from ledger") == statement.Read
package statement
