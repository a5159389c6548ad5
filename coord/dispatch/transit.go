package dispatch

import "time"

const (
	// fastestAnswerInterval is how long a fast answer counts; within it, some answers of a server in use
	// meet no queue.
	fastestAnswerInterval = 5 * time.Second
	// leastWork is subtracted from the fastest answer for the work that it contains, so that the time in
	// transit is not overestimated.
	leastWork = 2 * time.Millisecond
	// maxTransitFactor bounds the statements in transit by a multiple of the server's limit, since they
	// wait in the server's queue if they arrive together.
	maxTransitFactor = 4
)

// fastestAnswer is the shortest service time of the last one to two intervals.
type fastestAnswer struct {
	intervalStart     time.Time
	current, previous time.Duration
}

func (f *fastestAnswer) record(now time.Time, serviceTime time.Duration) {
	if now.Sub(f.intervalStart) >= fastestAnswerInterval {
		f.previous, f.current = f.current, 0
		f.intervalStart = now
	}
	if f.current == 0 || serviceTime < f.current {
		f.current = serviceTime
	}
}

// value returns the shortest service time, or 0 if none is known.
func (f *fastestAnswer) value() time.Duration {
	if f.previous == 0 || f.current != 0 && f.current < f.previous {
		return f.current
	}
	return f.previous
}

// inTransit returns how many statements are on the way to or from the server while it runs limit
// statements. Without them, a server 60 ms away that needs 8 ms for a statement is idle most of the time.
func (s *server) inTransit(limit int) int {
	transit := s.fastest.value() - leastWork
	work := s.serviceTime - transit
	if transit <= 0 || work <= 0 {
		return 0
	}
	return min(int(int64(limit)*int64(transit)/int64(work)), maxTransitFactor*limit)
}
