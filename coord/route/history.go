package route

import (
	"sort"
	"time"

	"trefoilcourse/coord/session"
)

const maxSamples = 512

type positionSample struct {
	polledAt time.Time
	position session.Position
}

// PositionHistory holds samples of the primary's position, by the time of the poll. Everything
// committed before the poll is at or below the position. It is not safe for concurrent use.
type PositionHistory struct {
	samples []positionSample
}

// Record adds the primary's position from a poll sent at polledAt; samples out of order are
// ignored.
func (h *PositionHistory) Record(polledAt time.Time, p session.Position) {
	if k := len(h.samples); k > 0 {
		last := h.samples[k-1]
		if polledAt.Before(last.polledAt) || p.Less(last.position) {
			return
		}
	}
	h.samples = append(h.samples, positionSample{polledAt, p})
	if len(h.samples) > maxSamples {
		h.thin()
	}
}

// thin drops every second sample of the older half, so that old times stay covered at a lower
// resolution.
func (h *PositionHistory) thin() {
	half := len(h.samples) / 2
	kept := h.samples[:0]
	for i, sample := range h.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, sample)
		}
	}
	h.samples = kept
}

// FloorAt returns a position that covers everything committed before at, or false if the primary
// has not been polled since.
func (h *PositionHistory) FloorAt(at time.Time) (session.Position, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].polledAt.Before(at) })
	if i == len(h.samples) {
		return session.Position{}, false
	}
	return h.samples[i].position, true
}

// Latest returns the last recorded position and the time of its poll.
func (h *PositionHistory) Latest() (session.Position, time.Time) {
	if len(h.samples) == 0 {
		return session.Position{}, time.Time{}
	}
	last := h.samples[len(h.samples)-1]
	return last.position, last.polledAt
}

// reachedAt returns the time of the first sample at or above p, or false if there is none.
func (h *PositionHistory) reachedAt(p session.Position) (time.Time, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].position.Less(p) })
	if i == len(h.samples) {
		return time.Time{}, false
	}
	return h.samples[i].polledAt, true
}

// Age returns an upper bound, as of now, on the staleness of a server that has replayed p, or false
// if no sample is old enough.
func (h *PositionHistory) Age(now time.Time, p session.Position) (time.Duration, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return p.Less(h.samples[i].position) })
	if i == 0 {
		return 0, false
	}
	return now.Sub(h.samples[i-1].polledAt), true
}
