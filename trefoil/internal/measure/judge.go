package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilcourse/standin"
)

const (
	maxTraces = 20
	// leavingLimit and inForceLimit are the users' bounds.
	leavingLimit = 3 * time.Second
	inForceLimit = 8 * time.Second
	gapLimit     = 9 * time.Second
)

// judge compares what callers were told with what the stand-ins ran.
func (r *run) judge() *Report {
	rec := r.record
	rec.mu.Lock()
	defer rec.mu.Unlock()
	elapsed := time.Since(r.started)
	report := &Report{
		Deployment: r.deployment.name, Seed: r.options.Seed, Baseline: r.options.Baseline,
		DurationSeconds: elapsed.Seconds(), ConnectionsLimit: r.deployment.connections,
		Broken:          []string{},
		OutcomesUnknown: rec.unknown, OutcomesNotRun: rec.notRun,
		StaleReads: len(rec.stale), WrongAnswers: len(rec.wrong), ConfigReverts: len(rec.reverts),
		InFlightCut: len(rec.cut), LeavingNewWork: milliseconds(rec.leaving), ConfigInForce: milliseconds(rec.inForce),
	}
	for _, name := range r.deployment.groupNames() {
		r.judgeGroup(report, r.groups[name])
	}
	r.judgeMeasures(report, elapsed)
	report.WritesDoubled += len(rec.doubled)
	for _, list := range [][]string{rec.stale, rec.wrong, rec.doubled, rec.reverts, rec.cut, rec.broken} {
		report.Broken = append(report.Broken, list...)
	}
	r.judgeBounds(report)
	if len(report.Broken) > maxTraces {
		rest := len(report.Broken) - maxTraces
		report.Broken = append(report.Broken[:maxTraces], fmt.Sprintf("and %d more", rest))
	}
	return report
}

func (r *run) judgeBounds(report *Report) {
	check := func(broken bool, format string, args ...any) {
		if broken {
			report.Broken = append(report.Broken, fmt.Sprintf(format, args...))
		}
	}
	check(report.ConnectionsMax > report.ConnectionsLimit, "a database had %d connections; its limit is %d", report.ConnectionsMax, report.ConnectionsLimit)
	check(report.LeavingNewWork > milliseconds(leavingLimit), "a leaving server got new work after %.0f ms", report.LeavingNewWork)
	check(report.ConfigInForce > milliseconds(inForceLimit), "a configuration took %.0f ms to be in force", report.ConfigInForce)
	check(report.FailoverGap.Max > milliseconds(gapLimit), "writes did not land for %.0f ms", report.FailoverGap.Max)
}

func (r *run) judgeGroup(report *Report, g *standin.Group) {
	_, most := g.ActivityLog().Connections()
	report.ConnectionsMax = max(report.ConnectionsMax, most)
	commits := g.ActivityLog().Commits()
	first := firstOfTerms(commits)
	ran := map[standin.Write]standin.Commit{}
	for _, c := range commits {
		for _, w := range c.Writes {
			ran[w] = c
		}
		if trace := mixed(c); trace != "" {
			report.TransactionsMixed++
			report.Broken = append(report.Broken, g.Name+": "+trace)
		}
	}
	primary := g.Primary()
	if primary == nil {
		report.Broken = append(report.Broken, g.Name+": there is no primary at the end")
		return
	}
	surviving := primary.WriteCounts()
	for w, count := range surviving {
		if count > 1 && !strings.HasPrefix(w.ID, "request-key:") {
			report.WritesDoubled++
			report.Broken = append(report.Broken, fmt.Sprintf("%s: row %q was written %d times as %q", g.Name, w.ID, count, w.Body))
		}
	}
	for _, a := range r.record.attempts {
		if a.group == g.Name {
			r.judgeAttempt(report, a, ran, surviving, first)
		}
	}
}

func (r *run) judgeAttempt(report *Report, a attempt, ran map[standin.Write]standin.Commit, surviving map[standin.Write]int, first map[uint64]time.Time) {
	w := standin.Write{ID: a.id, Body: a.body}
	commit, didRun := ran[w]
	switch a.verdict {
	case acknowledged:
		report.WritesAcknowledged++
		if surviving[w] == 0 {
			report.WritesLost++
			report.Broken = append(report.Broken, fmt.Sprintf("%s: write %q acknowledged at %s in term %d is lost", a.group, a.body, a.ended.Format(time.StampMicro), commit.Term))
		}
		for term, at := range first {
			if term > commit.Term && at.Before(commit.CommittedAt) {
				report.SupersededAcknowledgements++
				report.Broken = append(report.Broken, fmt.Sprintf("%s: write %q was acknowledged by term %d after term %d had begun", a.group, a.body, commit.Term, term))
			}
		}
	case notRun:
		if didRun {
			report.FalseNotRun++
			report.Broken = append(report.Broken, fmt.Sprintf("%s: write %q was said not to be run (%s) but ran in term %d", a.group, a.body, a.code, commit.Term))
		}
	}
}

func firstOfTerms(commits []standin.Commit) map[uint64]time.Time {
	first := map[uint64]time.Time{}
	for _, c := range commits {
		if at, ok := first[c.Term]; !ok || c.CommittedAt.Before(at) {
			first[c.Term] = c.CommittedAt
		}
	}
	return first
}

// mixed returns what is wrong with a transaction: rows of two callers, or half of a pair.
func mixed(c standin.Commit) string {
	owners := map[string]bool{}
	pair := 0
	for _, w := range c.Writes {
		owner, rest, _ := strings.Cut(w.ID, "-")
		owners[owner] = true
		if strings.HasPrefix(rest, "t") {
			pair++
		}
	}
	switch {
	case len(owners) > 1:
		return fmt.Sprintf("a transaction has rows of %d callers: %v", len(owners), c.Writes)
	case pair%2 == 1:
		return fmt.Sprintf("a transaction has half of a pair: %v", c.Writes)
	}
	return ""
}

func (r *run) judgeMeasures(report *Report, elapsed time.Duration) {
	rec := r.record
	eligible, byReplica := int64(0), int64(0)
	bytes := uint64(0)
	entries := r.rig.Entries()
	for _, s := range entries {
		e, b := s.Reads()
		eligible += e
		byReplica += b
		bytes += s.ControlTraffic().Read() + s.ControlTraffic().Written()
	}
	report.ReadsEligible, report.ReadsByReplica = eligible, byReplica
	if eligible > 0 {
		report.ReplicaReadShare = float64(byReplica) / float64(eligible)
	}
	report.ControlBytes = float64(bytes) / elapsed.Seconds() / float64(max(1, len(entries)))
	report.Latency = Latency{Reads: quantiles(rec.reads), Writes: quantiles(rec.writes)}
	if k := len(rec.gaps); k > 0 {
		slices.Sort(rec.gaps)
		report.FailoverGap = Gap{
			Count: k, P50: milliseconds(rec.gaps[(k-1)/2]),
			P99: milliseconds(rec.gaps[(k*99+99)/100-1]), Max: milliseconds(rec.gaps[k-1]),
		}
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perMillisecond = float64(time.Millisecond / time.Microsecond)
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / perMillisecond,
		P99: float64(h.ValueAtQuantile(99)) / perMillisecond,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
