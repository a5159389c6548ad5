// Package watch is an owner's view of a group's primary, made from the answers to its polls.
//
// One poll serves every write that waits: what was committed before the poll was sent is
// covered by the position that it returned, and may be acknowledged once a majority of the
// group's slots is known to have synced that position.
//
//	w := &watch.Watch{}
//	w.Start(now, term)
//	id := w.Await(now, term, true)
//	for _, done := range w.Learn(now, report, group) { ... }
package watch
