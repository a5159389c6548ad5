// Package watch tracks the health and the log position of a group's primary for an owner, from the
// reports that its polls return.
//
// One poll serves every pending write: the position that it returns covers what was committed
// before the poll was sent, and those writes may be acknowledged once a majority of the group's
// slots is known to have synced that position.
//
//	w := &watch.PrimaryWatcher{}
//	w.StartTerm(now, term)
//	id := w.StartWait(now, term, true)
//	for _, result := range w.HandleReport(now, report, group) { ... }
package watch
