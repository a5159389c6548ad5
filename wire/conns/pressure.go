package conns

import (
	"encoding/json"
	"maps"
	"net"
	"sync"
	"time"
)

// reportInterval bounds the rate of reports about connections that were refused or closed.
const reportInterval = time.Second

// MemoryCounts are the state of a budget; budget.Counts has the same fields.
type MemoryCounts struct {
	Limit, Used, Evicted, Refused int64
	// Uncollected is what was given back and may still be in memory.
	Uncollected int64
}

// Pressure counts what the limits of a process refuse; it is an expvar.Var. The zero value is ready to use.
type Pressure struct {
	// Memory returns the state of the budget; nil means that there is none.
	Memory func() MemoryCounts

	mu sync.Mutex
	// events are the numbers of connections that were refused or closed.
	events     map[string]int64
	reported   map[string]int64
	reportedAt time.Time
}

// Limit limits the connections of a listener, which are counted under a name; refusal is sent to those for which there
// is no room.
func (p *Pressure) Limit(name string, l net.Listener, most int, refusal string) net.Listener {
	p.count(name+"-refused", 0)
	p.count(name+"-closed", 0)
	return &Listener{Listener: l, Max: most, Refusal: []byte(refusal), Report: func(refused bool) {
		if refused {
			p.count(name+"-refused", 1)
			return
		}
		p.count(name+"-closed", 1)
	}}
}

func (p *Pressure) count(event string, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == nil {
		p.events = map[string]int64{}
	}
	p.events[event] += n
}

// counts returns what has been refused, and the use of memory.
func (p *Pressure) counts() (events, use map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	events, use = maps.Clone(p.events), map[string]int64{}
	if p.Memory != nil {
		m := p.Memory()
		if events == nil {
			events = map[string]int64{}
		}
		events["memory-evicted"], events["memory-refused"] = m.Evicted, m.Refused
		use["memory-limit"], use["memory-used"], use["memory-uncollected"] = m.Limit, m.Used, m.Uncollected
	}
	return events, use
}

// String returns the counts as JSON.
func (p *Pressure) String() string {
	events, use := p.counts()
	maps.Copy(use, events)
	text, err := json.Marshal(use)
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Report returns the counts since the start if something was refused since the last report, once a second at most.
func (p *Pressure) Report(now time.Time) (counts map[string]any, refused bool) {
	if now.Sub(p.reportedAt) < reportInterval {
		return nil, false
	}
	events, use := p.counts()
	for event, n := range events {
		refused = refused || n != p.reported[event]
	}
	if !refused {
		return nil, false
	}
	p.reportedAt, p.reported = now, events
	maps.Copy(use, events)
	counts = map[string]any{}
	for name, n := range use {
		counts[name] = n
	}
	return counts, true
}
