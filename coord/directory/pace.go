package directory

import "time"

const (
	// DefaultLinkBytesPerSecond is the rate of the leader's link if it is not specified.
	DefaultLinkBytesPerSecond = 100_000_000 / 8
	// linkDivisor is the inverse of the part of the link that directories may use.
	linkDivisor = 2
	// maxBurst is how far sending may run ahead of its rate: what waits in the link for this long
	// delays a heartbeat between control VMs by less than one interval.
	maxBurst = 50 * time.Millisecond
	// smallBytes is the size up to which changes are sent at once, since callers wait for them.
	smallBytes = 1 << 10
	// minWait is the shortest time after which a VM asks again.
	minWait = 100 * time.Millisecond
	// maxWait is the longest.
	maxWait = time.Second
	// maxRestarts bounds the halving of the pace.
	maxRestarts = 4
)

// Pace limits how fast directories leave the control leader.
type Pace struct {
	// LinkBytesPerSecond is the rate of the leader's link; 0 means DefaultLinkBytesPerSecond.
	LinkBytesPerSecond float64
	// Restarts is how many changes of leader came shortly before; each halves the pace, so that a
	// load that cost one leader its term is not repeated.
	Restarts int

	// free is when all that has been sent has left at the permitted rate.
	free time.Time
}

// take reserves the sending of some bytes, or returns how long to wait before asking again.
func (p *Pace) take(now time.Time, bytes int) time.Duration {
	ahead := p.free.Sub(now)
	if ahead > maxBurst && bytes > smallBytes {
		return min(maxWait, max(minWait, ahead))
	}
	if ahead < 0 {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / p.rate() * float64(time.Second)))
	return 0
}

// rate is the permitted number of bytes a second.
func (p *Pace) rate() float64 {
	rate := p.LinkBytesPerSecond
	if rate <= 0 {
		rate = DefaultLinkBytesPerSecond
	}
	return rate / linkDivisor / float64(int(1)<<min(p.Restarts, maxRestarts))
}
