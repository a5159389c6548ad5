package entry

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/budget"
	"trefoilcourse/wire/conns"
)

// Limits returns what the clients of this process may use.
func (s Settings) Limits() budget.Limits {
	return budget.LimitsOfEntry(s.MemoryMegabytes, s.FileDescriptors)
}

// DefaultMessageTimeout is how long the rest of a caller's message may take: ten times what one of 1 MiB takes at
// 1.4 Mbit/s, as others may be sent at the same time.
const DefaultMessageTimeout = time.Minute

// MessageTimeout returns how long the rest of a caller's message may take.
func (s Settings) MessageTimeout() time.Duration {
	return cmp.Or(time.Duration(s.MessageMilliseconds)*time.Millisecond, DefaultMessageTimeout)
}

// callerRefusal is what a caller over the limit is told in the platform's protocol; the limit is the number of
// connections.
const callerRefusal = "ERROR BUSY this entry VM has no room for another connection\r\n"

// pressureLogInterval is how often it is checked whether something was refused.
const pressureLogInterval = time.Second

// memoryCounts returns the state of a budget for a Pressure.
func memoryCounts(b *budget.Budget) func() conns.MemoryCounts {
	return func() conns.MemoryCounts { return conns.MemoryCounts(b.Counts()) }
}

// logPressure logs what has been refused since the last line, if anything was.
func logPressure(p *conns.Pressure, now time.Time, log logrus.FieldLogger) {
	if counts, refused := p.Report(now); refused {
		log.WithFields(counts).Warn("clients refused or disconnected by limits; counts since the start")
	}
}
