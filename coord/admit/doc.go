// Package admit decides which waiting request runs next and which is refused before it runs.
//
// A Queue holds the requests of one group. Each caller key has a turn in rotation, so that a
// flood of one cannot starve the others, and a full queue drops a request of the key that has
// the most waiting. A request that would miss its deadline by the time its turn comes is
// refused at once, while the caller can still use the refusal:
//
//	queue := &admit.Queue{Limit: 64, Workers: 15}
//	verdict, dropped := queue.Push(now, admit.Request{ID: 7, Key: "parish", Deadline: deadline})
//	id, expired, ok := queue.Next(now)
package admit
