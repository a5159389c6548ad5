package quota

import (
	"math"
	"time"
)

// average is an exponentially weighted average of events per second.
type average struct {
	period time.Duration
	rate   float64
	at     time.Time
}

func (a *average) add(now time.Time, events float64) {
	a.rate = a.perSecond(now) + events/a.period.Seconds()
	a.at = now
}

func (a *average) perSecond(now time.Time) float64 {
	if a.rate == 0 || !now.After(a.at) {
		return a.rate
	}
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/a.period.Seconds())
}
