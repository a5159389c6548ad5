// Package statement tells from the first words of a statement how it must be routed.
//
// It does not parse SQL. Whatever it does not know is a write, which is always safe: reads are
// run in read-only transactions, so that a read which writes after all is refused by the server
// and run again as a write.
//
//	statement.Classify("select body from ledger") == statement.Read
package statement
