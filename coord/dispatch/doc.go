// Package dispatch orders the work of one group at an owner.
//
// Each server works on few statements at once, so work waits where it can be put in order: by
// priority, by how soon an answer is expected, and by arrival. Work that only the primary may run waits for the primary; a read
// that any fresh replica may run takes the server that is predicted to answer first. Work that
// cannot be answered in its time is refused at once.
//
//	q := &dispatch.Queue{FailureDomain: "d1"}
//	q.SetServers(servers)
//	started, refused := q.Submit(now, dispatch.Job{ID: 1, Deadline: deadline})
//	...
//	started, refused = q.Done(now, "s1", took, true)
package dispatch
