package admit

import "time"

// serviceWeight is the inverse of the weight of a new service time in the running mean.
const serviceWeight = 16

// Decision is what became of a request that was pushed.
type Decision int

// The verdicts of Push.
const (
	// Queued means that the request will be returned or reported expired by Next.
	Queued Decision = iota
	// QueueFull means that the queue has no room and the request's key has its share.
	QueueFull
	// DeadlineExceeded means that the request would miss its deadline before its turn.
	DeadlineExceeded
)

// Request is one request that waits.
type Request struct {
	ID       uint64
	Key      string
	Deadline time.Time
}

// Queue is a bounded queue, fair between keys; it is not safe for concurrent use.
type Queue struct {
	// Limit is the most requests that wait.
	Limit int
	// Workers is the number of requests that run at once.
	Workers int

	waiting map[string][]Request
	turns   []string
	length  int
	service time.Duration
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.length }

// ObserveServiceTime records how long a request ran.
func (q *Queue) ObserveServiceTime(d time.Duration) {
	if q.service == 0 {
		q.service = d
		return
	}
	q.service += (d - q.service) / serviceWeight
}

// QueueDelay returns how long a request of key would wait: its turn comes after those of its own
// key and as many of each other key.
func (q *Queue) QueueDelay(key string) time.Duration {
	mine := len(q.waiting[key]) + 1
	ahead := 0
	for _, list := range q.waiting {
		ahead += min(len(list), mine)
	}
	return q.service * time.Duration(ahead) / time.Duration(max(1, q.Workers))
}

// Push adds a request; dropped is one of another key that gave way and must be refused.
func (q *Queue) Push(now time.Time, r Request) (v Decision, dropped []Request) {
	if q.waiting == nil {
		q.waiting = map[string][]Request{}
	}
	if now.Add(q.QueueDelay(r.Key) + q.service).After(r.Deadline) {
		return DeadlineExceeded, nil
	}
	if q.length >= q.Limit {
		longest := q.longest()
		if len(q.waiting[longest]) <= len(q.waiting[r.Key])+1 {
			return QueueFull, nil
		}
		dropped = []Request{q.dropLast(longest)}
	}
	if len(q.waiting[r.Key]) == 0 {
		q.turns = append(q.turns, r.Key)
	}
	q.waiting[r.Key] = append(q.waiting[r.Key], r)
	q.length++
	return Queued, dropped
}

// Next returns the request whose turn it is and those found to be past their deadline.
func (q *Queue) Next(now time.Time) (r Request, expired []Request, ok bool) {
	for len(q.turns) > 0 {
		r = q.pop()
		if now.Before(r.Deadline) {
			return r, expired, true
		}
		expired = append(expired, r)
	}
	return Request{}, expired, false
}

func (q *Queue) pop() Request {
	key := q.turns[0]
	q.turns = q.turns[1:]
	list := q.waiting[key]
	r := list[0]
	q.length--
	if len(list) == 1 {
		delete(q.waiting, key)
		return r
	}
	q.waiting[key] = list[1:]
	q.turns = append(q.turns, key)
	return r
}

func (q *Queue) longest() string {
	longest := ""
	for _, key := range q.turns {
		if len(q.waiting[key]) > len(q.waiting[longest]) {
			longest = key
		}
	}
	return longest
}

// dropLast removes the newest request of a key that has at least two.
func (q *Queue) dropLast(key string) Request {
	list := q.waiting[key]
	r := list[len(list)-1]
	q.waiting[key] = list[:len(list)-1]
	q.length--
	return r
}
