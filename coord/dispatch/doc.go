// Package dispatch schedules the statements of one group on its backend servers.
//
// Each server runs few statements concurrently, so jobs wait in the owner's queue, ordered by
// priority, target latency and arrival. A job for the primary waits for the primary; a read that
// any fresh replica may run is assigned to the server with the lowest predicted latency. A job
// that cannot be answered before its deadline is refused when it is submitted.
//
//	q := &dispatch.Queue{FailureDomain: "d1"}
//	q.SetServers(servers)
//	started, refused := q.Submit(now, dispatch.Job{ID: 1, Deadline: deadline})
//	...
//	started, refused = q.Done(now, "s1", serviceTime, true)
package dispatch
