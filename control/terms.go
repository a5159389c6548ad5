package control

import "time"

// restartWindow is how long a change of leader counts as recent.
const restartWindow = 10 * time.Second

// termHistory holds when this VM saw the last control terms begin; the zero value is empty.
type termHistory struct {
	term   uint64
	starts []time.Time
}

// observe records the current term once it has a leader. In a term without one, as of an election that
// fails, nobody sends a directory.
func (h *termHistory) observe(now time.Time, term uint64, led bool) {
	if term == h.term || !led {
		return
	}
	h.term = term
	h.starts = append(h.recent(now), now)
}

// restarts returns how many terms began lately before the current one.
func (h *termHistory) restarts(now time.Time) int { return max(0, len(h.recent(now))-1) }

func (h *termHistory) recent(now time.Time) []time.Time {
	var recent []time.Time
	for _, start := range h.starts {
		if now.Sub(start) < restartWindow {
			recent = append(recent, start)
		}
	}
	return recent
}
