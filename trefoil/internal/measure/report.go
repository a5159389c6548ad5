package measure

import (
	"fmt"
	"strings"
)

// Gap summarizes failover gaps in milliseconds.
type Gap struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Latency is what callers waited in milliseconds.
type Latency struct {
	Reads  Quantiles `json:"reads"`
	Writes Quantiles `json:"writes"`
}

// Report is the outcome of a run.
type Report struct {
	Deployment                 string   `json:"deployment"`
	Seed                       uint64   `json:"seed"`
	Baseline                   string   `json:"baseline"`
	DurationSeconds            float64  `json:"duration-seconds"`
	ReadsEligible              int64    `json:"reads-eligible"`
	ReadsByReplica             int64    `json:"reads-by-replica"`
	ReplicaReadShare           float64  `json:"replica-read-share"`
	FailoverGap                Gap      `json:"failover-gap-ms"`
	WritesAcknowledged         int      `json:"writes-acknowledged"`
	WritesLost                 int      `json:"writes-lost"`
	WritesDoubled              int      `json:"writes-doubled"`
	TransactionsMixed          int      `json:"transactions-mixed"`
	StaleReads                 int      `json:"stale-reads"`
	WrongAnswers               int      `json:"wrong-answers"`
	FalseNotRun                int      `json:"false-not-run"`
	SupersededAcknowledgements int      `json:"superseded-acknowledgements"`
	OutcomesUnknown            int      `json:"outcomes-unknown"`
	OutcomesNotRun             int      `json:"outcomes-not-run"`
	ConnectionsMax             int      `json:"connections-max"`
	ConnectionsLimit           int      `json:"connections-limit"`
	LeavingNewWork             float64  `json:"leaving-new-work-ms-max"`
	ConfigInForce              float64  `json:"config-in-force-ms-max"`
	ConfigReverts              int      `json:"config-reverts"`
	InFlightCut                int      `json:"in-flight-cut"`
	Latency                    Latency  `json:"latency-ms"`
	ControlBytes               float64  `json:"control-bytes-per-second-per-node"`
	Broken                     []string `json:"broken"`
}

// Held reports whether every promise held.
func (r *Report) Held() bool { return len(r.Broken) == 0 }

// Text returns the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "  %-34s %s\n", name, fmt.Sprintf(format, args...))
	}
	fmt.Fprintf(&b, "%s, seed %d, %.0f s, baseline %s\n", r.Deployment, r.Seed, r.DurationSeconds, r.Baseline)
	line("share of reads by replicas", "%.1f%% (%d of %d)", 100*r.ReplicaReadShare, r.ReadsByReplica, r.ReadsEligible)
	line("failover gap", "p50 %.0f ms, p99 %.0f ms, max %.0f ms (%d faults)", r.FailoverGap.P50, r.FailoverGap.P99, r.FailoverGap.Max, r.FailoverGap.Count)
	line("writes acknowledged", "%d", r.WritesAcknowledged)
	line("lost, doubled, mixed", "%d, %d, %d", r.WritesLost, r.WritesDoubled, r.TransactionsMixed)
	line("stale reads, wrong answers", "%d, %d", r.StaleReads, r.WrongAnswers)
	line("false not run, superseded acks", "%d, %d", r.FalseNotRun, r.SupersededAcknowledgements)
	line("outcomes unknown, not run", "%d, %d", r.OutcomesUnknown, r.OutcomesNotRun)
	line("connections to a database", "%d of %d at most", r.ConnectionsMax, r.ConnectionsLimit)
	line("new work on a leaving server", "until %.0f ms", r.LeavingNewWork)
	line("configuration in force", "within %.0f ms, %d reverts", r.ConfigInForce, r.ConfigReverts)
	line("cut by planned stops", "%d", r.InFlightCut)
	line("reads", "p50 %.1f ms, p99 %.1f ms", r.Latency.Reads.P50, r.Latency.Reads.P99)
	line("writes", "p50 %.1f ms, p99 %.1f ms", r.Latency.Writes.P50, r.Latency.Writes.P99)
	line("control traffic of an entry VM", "%.0f bytes a second", r.ControlBytes)
	if r.Held() {
		b.WriteString("every promise held\n")
		return b.String()
	}
	fmt.Fprintf(&b, "%d promises broken:\n", len(r.Broken))
	for _, trace := range r.Broken {
		fmt.Fprintf(&b, "  %s\n", trace)
	}
	return b.String()
}
