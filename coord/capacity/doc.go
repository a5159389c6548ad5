// Package capacity learns how many statements each backend server of a group handles well at a time,
// and how fast it is.
//
// An owner reports each change of the number of statements that it runs on a server, and the service
// time of each answer with its kind. The estimator compares service times of one kind only, and
// only those that are close in time, so that neither a change of the mix of statements nor a server
// that is slow at any load looks like too much concurrency.
//
//	e := &capacity.Estimator{}
//	e.SetServers(now, []capacity.Server{{Slot: "s1", Incarnation: "i1", Concurrency: 4}})
//	e.SetRunning(now, "s1", 3)
//	e.Record(now, "s1", kind, serviceTime)
//	limit := e.Limit("s1")
//	predicted, ok := e.Predict(now, "s1", kind)
package capacity
