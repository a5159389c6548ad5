package route

import (
	"sort"
	"time"

	"trefoilcourse/coord/session"
)

const maxSightings = 512

type sighting struct {
	asked    time.Time
	position session.Position
}

// PositionHistory are the primary's positions by the time at which they were asked for; everything
// committed before that time is at or below the position. It is not safe for concurrent use.
type PositionHistory struct {
	list []sighting
}

// Record adds what the primary answered to a question asked at asked.
func (s *PositionHistory) Record(asked time.Time, p session.Position) {
	if k := len(s.list); k > 0 {
		last := s.list[k-1]
		if asked.Before(last.asked) || p.Less(last.position) {
			return
		}
	}
	s.list = append(s.list, sighting{asked, p})
	if len(s.list) > maxSightings {
		s.thin()
	}
}

// thin drops every second of the older half, so that old ages stay covered, more coarsely.
func (s *PositionHistory) thin() {
	half := len(s.list) / 2
	kept := s.list[:0]
	for i, entry := range s.list {
		if i >= half || i%2 == 0 {
			kept = append(kept, entry)
		}
	}
	s.list = kept
}

// FloorAt returns a position that covers everything committed before at, or false when the
// primary has not been asked since.
func (s *PositionHistory) FloorAt(at time.Time) (session.Position, bool) {
	i := sort.Search(len(s.list), func(i int) bool { return !s.list[i].asked.Before(at) })
	if i == len(s.list) {
		return session.Position{}, false
	}
	return s.list[i].position, true
}

// Latest returns the last position seen and when it was asked for.
func (s *PositionHistory) Latest() (session.Position, time.Time) {
	if len(s.list) == 0 {
		return session.Position{}, time.Time{}
	}
	last := s.list[len(s.list)-1]
	return last.position, last.asked
}

// reachedAt returns when the primary was first seen at or above p, or false if it was not.
func (s *PositionHistory) reachedAt(p session.Position) (time.Time, bool) {
	i := sort.Search(len(s.list), func(i int) bool { return !s.list[i].position.Less(p) })
	if i == len(s.list) {
		return time.Time{}, false
	}
	return s.list[i].asked, true
}

// Age returns a bound on the age at now of a server that has replayed p, or false if nothing
// that old is remembered.
func (s *PositionHistory) Age(now time.Time, p session.Position) (time.Duration, bool) {
	i := sort.Search(len(s.list), func(i int) bool { return p.Less(s.list[i].position) })
	if i == 0 {
		return 0, false
	}
	return now.Sub(s.list[i-1].asked), true
}
