// Package admit decides which waiting request runs next and which is refused before it runs.
//
// A Queue holds the requests of one group. It serves caller keys round robin, so that a flood
// from one cannot starve the others, and when full it drops a request of the key that has the
// most waiting. A request that is predicted to miss its deadline is refused at once, while the
// caller still has time to react:
//
//	queue := &admit.Queue{Limit: 64, Workers: 15}
//	decision, dropped := queue.Push(now, admit.Request{ID: 7, Key: "caller-1", Deadline: deadline})
//	request, expired, ok := queue.Next(now)
package admit
