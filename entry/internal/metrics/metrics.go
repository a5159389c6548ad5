// Package metrics holds the counters of an entry VM.
package metrics

import (
	"expvar"
	"fmt"
	"sync"
	"time"
)

// Metrics are the counters of one entry VM; Publish exports them through expvar.
type Metrics struct {
	// StartID identifies one start of the daemon.
	StartID            expvar.String
	Callers            expvar.Int
	Units              expvar.Int
	ReadsEligible      expvar.Int
	ReadsByReplica     expvar.Int
	ReadsByPrimary     expvar.Int
	ReadsAsWrites      expvar.Int
	ReplayChecks       expvar.Int
	Polls              expvar.Int
	WritesAcked        expvar.Int
	Unknown            expvar.Int
	NotRun             expvar.Map
	Retries            expvar.Int
	BackendConnects    expvar.Int
	BackendDiscarded   expvar.Int
	FloorsKnown        expvar.Int
	FloorsByToken      expvar.Int
	FloorsConservative expvar.Int
	LinkStreams        expvar.Int
	AnnounceAccepted   expvar.Int
	AnnounceRefused    expvar.Int
	// UsageWaits counts the operations that waited for an allowance of their workspace, and
	// UsageRenewals the early renewals that they caused.
	UsageWaits    expvar.Int
	UsageRenewals expvar.Int

	// UnreadableMessages counts callers' messages that were no statements.
	UnreadableMessages expvar.Int
	// DoubtfulAnswers counts servers' answers that may belong to an earlier statement, by reason.
	DoubtfulAnswers expvar.Map
	// SkippedAnswers counts servers' answers that were dropped because they belong to earlier statements.
	SkippedAnswers expvar.Int

	// KeyRefusals counts sessions and statements refused because of a caller's key, by reason.
	KeyRefusals expvar.Map
	// PoolEvictions counts idle connections that were closed to open one for another workspace.
	PoolEvictions expvar.Int
	// QueueRefusals counts the statements that owners' queues refused, by reason and priority.
	QueueRefusals expvar.Map
	// LimitChanges counts changes of learned limits, and LimitedServers is the number of servers whose
	// learned limit is below what they announce.
	LimitChanges   expvar.Int
	LimitedServers expvar.Int

	mu        sync.Mutex
	services  map[string]*Service
	published expvar.Map
	byService expvar.Map

	latencies map[string]*Latency
	latency   expvar.Map

	// usageRefused counts refusals because of usage caps by workspace.
	usageRefused expvar.Map
	refusedNames map[string]bool
}

// Service counts the requests that met a service's objective and those that did not.
type Service struct {
	Good expvar.Int
	Bad  expvar.Int
}

// Publish exports the counters under name, once per process.
func (m *Metrics) Publish(name string) {
	for key, value := range map[string]expvar.Var{
		"life": &m.StartID, "callers": &m.Callers, "units": &m.Units,
		"reads-eligible": &m.ReadsEligible, "reads-by-replica": &m.ReadsByReplica,
		"reads-by-primary": &m.ReadsByPrimary, "reads-as-writes": &m.ReadsAsWrites,
		"proofs": &m.ReplayChecks, "polls": &m.Polls, "writes-acknowledged": &m.WritesAcked,
		"unknown": &m.Unknown, "not-run": &m.NotRun, "retries": &m.Retries,
		"backend-connects": &m.BackendConnects, "backend-discarded": &m.BackendDiscarded,
		"floors-known": &m.FloorsKnown, "floors-by-token": &m.FloorsByToken,
		"floors-conservative": &m.FloorsConservative, "link-streams": &m.LinkStreams,
		"announcements-accepted": &m.AnnounceAccepted, "announcements-refused": &m.AnnounceRefused,
		"unreadable-messages": &m.UnreadableMessages, "doubtful-answers": &m.DoubtfulAnswers, "skipped-answers": &m.SkippedAnswers,
		"key-refusals": &m.KeyRefusals, "pool-evictions": &m.PoolEvictions,
		"usage-waits": &m.UsageWaits, "usage-renewals": &m.UsageRenewals, "usage-refused": &m.usageRefused,
		"queue-refusals": &m.QueueRefusals, "learned-limit-changes": &m.LimitChanges, "learned-limited-servers": &m.LimitedServers,
		"services": &m.byService, "latency": &m.latency,
	} {
		m.published.Set(key, value)
	}
	if expvar.Get(name) == nil {
		expvar.Publish(name, &m.published)
	}
}

// Add adds a variable to those that Publish exports.
func (m *Metrics) Add(key string, v expvar.Var) { m.published.Set(key, v) }

// Var returns all counters as one expvar variable.
func (m *Metrics) Var() expvar.Var { return &m.published }

// CountRequest counts a request of a service as good if it succeeded within the objective.
func (m *Metrics) CountRequest(service string, ok bool, duration, objective time.Duration) {
	s := m.service(service)
	if ok && (objective == 0 || duration <= objective) {
		s.Good.Add(1)
		return
	}
	s.Bad.Add(1)
}

func (m *Metrics) service(name string) *Service {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services == nil {
		m.services = map[string]*Service{}
	}
	s := m.services[name]
	if s == nil {
		s = &Service{}
		m.services[name] = s
		counts := new(expvar.Map)
		counts.Set("good", &s.Good)
		counts.Set("bad", &s.Bad)
		m.byService.Set(name, counts)
	}
	return s
}

// Latency returns the latency histogram of statements with the given outcome.
func (m *Metrics) Latency(outcome string) *Latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.latencies[outcome]
	if l == nil {
		if m.latencies == nil {
			m.latencies = map[string]*Latency{}
		}
		l = &Latency{}
		m.latencies[outcome] = l
		m.latency.Set(outcome, l)
	}
	return l
}

// maxPriorityLabel bounds the priorities that are counted one by one.
const maxPriorityLabel = 9

// CountQueueRefusal counts a statement that an owner's queue refused.
func (m *Metrics) CountQueueRefusal(reason string, priority int) {
	m.QueueRefusals.Add(fmt.Sprintf("%s/priority-%d", reason, min(max(priority, 0), maxPriorityLabel)), 1)
}
