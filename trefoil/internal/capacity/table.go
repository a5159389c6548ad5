package capacity

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Slopes is everything that was measured.
type Slopes struct {
	Leader LeaderSlopes
	Half   LeaderSlopes
	Entry  EntrySlopes
}

// Measure measures all slopes; it takes about a minute.
func Measure(ctx context.Context) (Slopes, error) {
	s := Slopes{Leader: MeasureLeader(nodes, databases), Half: MeasureLeader(nodes/2, databases/2)}
	var err error
	s.Entry, err = MeasureEntry(ctx)
	return s, err
}

// row is one role's part at the size that the design is for.
type row struct {
	role, mechanism string
	state           float64
	messages        float64
	bytes           float64
	core            float64
	budgeted        bool
}

func perSecond(d time.Duration, times float64) float64 {
	return d.Seconds() * times * percent
}

func (s Slopes) rows() []row {
	l, e := s.Leader, s.Entry
	renewals := float64(nodes * renewalsPerSec)
	changes := float64(changesPerDay) / secondsPerDay
	moves := float64(2*restartsPerDay+failuresPerDay) / secondsPerDay
	owned := float64(databases*ownersPerDatabase) / nodes
	statementsEach := float64(statementsPerSec) / nodes
	callersEach := float64(callers) / nodes
	nodeBytes := (l.RenewalAsked+l.RenewalAnswer)*renewalsPerSec + changes*l.ChangeAnswer + moves*l.JoinAnswer + l.Whole/secondsPerDay
	return []row{
		{"control leader", "one renewal a VM carries leases, findings, announcements, deltas", l.Memory, renewals, nodeBytes * nodes,
			perSecond(l.Renewal, renewals) + perSecond(l.Tick, leaderTicksPerSec) + perSecond(l.Assign, moves) + perSecond(l.Publish, changes), false},
		{"control follower", "replicated log: heartbeats ten times a second, a record for each change (messages and bytes estimated)", l.WholeConfiguration, 10, 10 * 40, perSecond(l.Publish, changes), false},
		{"entry VM, for control", "the same renewal from the VM's side, with its owned groups' polls", e.GroupMemory*owned + l.Whole + l.WholeConfiguration,
			renewalsPerSec + owned*idlePollsPerSec, nodeBytes, perSecond(e.EntryIdle, 1) + perSecond(e.GroupIdle, owned), true},
		{"entry VM, for callers", "a goroutine and two buffers for each caller", e.CallerMemory * callersEach, 0, 0, 0, false},
		{"entry VM, for statements", "forwarding to an owner over multiplexed links; half reads, half writes", 0, statementsEach, 0, perSecond((e.Read+e.Write)/2, statementsEach), false},
	}
}

// Table returns the capacity table in Markdown.
func (s Slopes) Table() string {
	var b strings.Builder
	b.WriteString("| role | state, MB | messages/s | bytes/s | core, % | within budget | carried by |\n|---|---|---|---|---|---|---|\n")
	for _, r := range s.rows() {
		within := "not budgeted"
		if r.budgeted {
			within = fmt.Sprintf("core %s, memory %s, bytes %s", margin(r.core, budgetCorePercent), margin(r.state/bytesPerMB, budgetMemoryMB), margin(r.bytes, budgetBytesPerSec))
		}
		fmt.Fprintf(&b, "| %s | %.2f | %.0f | %.0f | %.2f | %s | %s |\n", r.role, r.state/bytesPerMB, r.messages, r.bytes, r.core, within, r.mechanism)
	}
	return b.String()
}

func margin(value, budget float64) string {
	if value > budget {
		return fmt.Sprintf("OVER by %.1f times", value/budget)
	}
	return fmt.Sprintf("uses %.0f%%", percent*value/budget)
}

// List returns the slopes in Markdown, the leader's at the whole and at half the size.
func (s Slopes) List() string {
	var b strings.Builder
	line := func(name, unit string, value, half float64) {
		fmt.Fprintf(&b, "| %s | %.1f %s | %.1f %s |\n", name, value, unit, half, unit)
	}
	micro := func(d time.Duration) float64 { return d.Seconds() * microPerSecond }
	fmt.Fprintf(&b, "| slope | %d VMs, %d databases | %d VMs, %d databases |\n|---|---|---|\n", nodes, databases, nodes/2, databases/2)
	l, h := s.Leader, s.Half
	line("renewal, processor", "us", micro(l.Renewal), micro(h.Renewal))
	line("renewal, asked", "bytes", l.RenewalAsked, h.RenewalAsked)
	line("renewal, answered", "bytes", l.RenewalAnswer, h.RenewalAnswer)
	line("leader's tick, processor", "us", micro(l.Tick), micro(h.Tick))
	line("owners of every database anew, processor", "us", micro(l.Assign), micro(h.Assign))
	line("publish of the whole set, processor", "us", micro(l.Publish), micro(h.Publish))
	line("a change of 3 objects, to each VM", "bytes", l.ChangeAnswer, h.ChangeAnswer)
	line("a VM that goes, to each other VM", "bytes", l.JoinAnswer, h.JoinAnswer)
	line("directory in whole", "bytes", l.Whole, h.Whole)
	line("configuration in whole", "bytes", l.WholeConfiguration, h.WholeConfiguration)
	line("leader's state", "bytes", l.Memory, h.Memory)
	e := s.Entry
	fmt.Fprintf(&b, "\n| slope of an entry VM | value |\n|---|---|\n")
	one := func(name, unit string, value float64) { fmt.Fprintf(&b, "| %s | %.1f %s |\n", name, value, unit) }
	one("caller with nothing under way", "bytes", e.CallerMemory)
	one("read by a replica, processor", "us", micro(e.Read))
	one("write with its acknowledgement, processor", "us", micro(e.Write))
	one("owned database with nothing to do, processor a second, stand-in included", "us", micro(e.GroupIdle))
	one("owned database, memory, stand-in included", "bytes", e.GroupMemory)
	one("entry VM that owns nothing, processor a second, leader included", "us", micro(e.EntryIdle))
	return b.String()
}
