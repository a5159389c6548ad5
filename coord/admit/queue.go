package admit

import "time"

// serviceTimeSmoothing is the inverse weight of a new sample in the moving average.
const serviceTimeSmoothing = 16

// Decision is the result of Push.
type Decision int

// Results of Push.
const (
	// Queued means that Next will return the request or report it as expired.
	Queued Decision = iota
	// QueueFull means that the queue is full and the request's key has used its share.
	QueueFull
	// DeadlineExceeded means that the request is predicted to miss its deadline.
	DeadlineExceeded
)

// Request is one waiting request.
type Request struct {
	ID       uint64
	Key      string
	Deadline time.Time
}

// Queue is a bounded queue that is fair between keys; it is not safe for concurrent use.
type Queue struct {
	// Limit is the maximum number of waiting requests.
	Limit int
	// Workers is the number of requests that run concurrently.
	Workers int

	waiting     map[string][]Request
	rotation    []string
	length      int
	serviceTime time.Duration
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// ObserveServiceTime adds the run time of a request to the moving average.
func (q *Queue) ObserveServiceTime(serviceTime time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = serviceTime
		return
	}
	q.serviceTime += (serviceTime - q.serviceTime) / serviceTimeSmoothing
}

// QueueDelay returns the predicted wait of a request of key: it runs after the requests of its own
// key and as many of each other key.
func (q *Queue) QueueDelay(key string) time.Duration {
	position := len(q.waiting[key]) + 1
	ahead := 0
	for _, list := range q.waiting {
		ahead += min(len(list), position)
	}
	return q.serviceTime * time.Duration(ahead) / time.Duration(max(1, q.Workers))
}

// Push adds a request; dropped holds a request of another key that made room and must be refused.
func (q *Queue) Push(now time.Time, r Request) (decision Decision, dropped []Request) {
	if q.waiting == nil {
		q.waiting = map[string][]Request{}
	}
	if now.Add(q.QueueDelay(r.Key) + q.serviceTime).After(r.Deadline) {
		return DeadlineExceeded, nil
	}
	if q.length >= q.Limit {
		longest := q.longestKey()
		if len(q.waiting[longest]) <= len(q.waiting[r.Key])+1 {
			return QueueFull, nil
		}
		dropped = []Request{q.dropNewest(longest)}
	}
	if len(q.waiting[r.Key]) == 0 {
		q.rotation = append(q.rotation, r.Key)
	}
	q.waiting[r.Key] = append(q.waiting[r.Key], r)
	q.length++
	return Queued, dropped
}

// Next removes and returns the next request, and those before it that are past their deadline.
func (q *Queue) Next(now time.Time) (r Request, expired []Request, ok bool) {
	for len(q.rotation) > 0 {
		r = q.pop()
		if now.Before(r.Deadline) {
			return r, expired, true
		}
		expired = append(expired, r)
	}
	return Request{}, expired, false
}

func (q *Queue) pop() Request {
	key := q.rotation[0]
	q.rotation = q.rotation[1:]
	list := q.waiting[key]
	r := list[0]
	q.length--
	if len(list) == 1 {
		delete(q.waiting, key)
		return r
	}
	q.waiting[key] = list[1:]
	q.rotation = append(q.rotation, key)
	return r
}

func (q *Queue) longestKey() string {
	longest := ""
	for _, key := range q.rotation {
		if len(q.waiting[key]) > len(q.waiting[longest]) {
			longest = key
		}
	}
	return longest
}

// dropNewest removes the newest request of a key that has at least two.
func (q *Queue) dropNewest(key string) Request {
	list := q.waiting[key]
	r := list[len(list)-1]
	q.waiting[key] = list[:len(list)-1]
	q.length--
	return r
}
