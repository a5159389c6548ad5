// Package correlate tells whether an answer on a connection can be the one to the question sent last.
//
// Where a protocol carries no ids, answers are matched to questions by their order alone. A server that sends
// an answer twice breaks the order: the copy arrives in place of a later answer. History remembers what a
// connection has answered:
//
//	doubt := history.Observe(correlate.Question{Signed: true}, answer)
//
// An answer that equals none of the earlier ones is no copy.
package correlate
