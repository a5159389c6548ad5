package runner

import (
	"fmt"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/quota"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

// maxExplainedServers bounds an explanation; groups have fewer servers.
const maxExplainedServers = 64

// Explain returns what Execute would do with a statement outside a transaction now. It changes nothing: the
// decisions are those of Execute, evaluated without their records.
func (r *Runner) Explain(q *wire.ExplainRequest) *wire.OwnerExplanation {
	e := &wire.OwnerExplanation{
		Vm: r.VM, ConfigurationVersion: r.View.Version(), ConfirmedMilliseconds: milliseconds(r.View.ConfirmationAge()),
	}
	d, _, staleness, ok := r.View.Database(q.GetDatabase())
	if !ok {
		return explainElsewhere(e, "the owner does not know the database")
	}
	g := r.group(d.Group)
	if g == nil {
		return explainElsewhere(e, "this entry VM does not own the group")
	}
	if r.RecentlySuspended() {
		return explainElsewhere(e, "this entry VM stood still until now")
	}
	now := clock.Now()
	request := &wire.StatementRequest{
		Database: q.GetDatabase(), Workspace: q.GetWorkspace(), Kind: q.GetKind(), Floor: q.GetFloor(),
		PatienceMilliseconds: uint32(d.StatementMilliseconds),
	}
	w := newWorkItem(now, g, request, d, staleness)
	admitted := r.explainAdmission(w, e)
	var job dispatch.Job
	var floor session.Position
	if q.GetKind() == wire.StatementKind_STATEMENT_KIND_READ {
		job, floor, _ = w.evaluateRead(now, nil)
	} else {
		job = dispatch.Job{PrimaryOnly: true}
	}
	if !job.PrimaryOnly {
		e.Floor = floor.Wire()
	}
	job = w.complete(job)
	observed, hasLease := g.currentLeadership()
	e.Term = observed.term
	unusable := g.primaryUnusable(job, hasLease)
	g.mu.Lock()
	decision := g.queue.Explain(now, job)
	e.Servers = g.explainServers(now, decision.Candidates, floor)
	g.mu.Unlock()
	e.Waiting = uint32(decision.Waiting)
	if !admitted {
		return withoutServer(e)
	}
	if unusable != "" {
		return explainElsewhere(withoutServer(e), unusable)
	}
	explainDecision(e, decision)
	return e
}

// explainAdmission adds the workspace's allowance, and reports whether the statement may start.
func (r *Runner) explainAdmission(w *workItem, e *wire.OwnerExplanation) bool {
	workspace := w.request.GetWorkspace()
	if workspace == "" || !r.View.Capped(workspace) {
		return true
	}
	r.usage.mu.Lock()
	p := r.usage.holder.Peek(clock.Now(), quota.Operation{Workspace: workspace, Priority: w.database.Priority, Until: w.admitUntil()})
	r.usage.mu.Unlock()
	e.Capped, e.Held, e.AllowanceAgeMilliseconds = true, uint32(p.Held), milliseconds(p.Age)
	switch p.Outcome {
	case quota.Refused:
		e.Reason = usageReason(p.Exhausted)
	case quota.Waiting:
		e.Reason = "waits for operations of the workspace's usage cap"
	}
	return p.Outcome == quota.Admitted
}

// explainServers returns the servers as the decision sees them; mu is held.
func (g *group) explainServers(now time.Time, candidates []dispatch.Candidate, floor session.Position) []*wire.ServerExplanation {
	var servers []*wire.ServerExplanation
	for _, c := range candidates[:min(len(candidates), maxExplainedServers)] {
		s := &wire.ServerExplanation{
			Slot: c.Slot, FailureDomain: c.FailureDomain, Primary: c.Primary, Running: uint32(c.Running), Limit: uint32(c.Limit),
			CostMicroseconds: uint32(c.Cost.Microseconds()), ServiceMicroseconds: uint32(c.Expected.Microseconds()), LeftOut: c.LeftOut,
		}
		if r := g.replicas[c.Slot]; r != nil && !c.Primary && !r.ReportedAt.IsZero() {
			s.Known, s.Position, s.Old = true, r.Replayed.Wire(), !r.current(now)
			s.AgeMilliseconds, s.LagMilliseconds = milliseconds(now.Sub(r.ReportedAt)), milliseconds(r.Lag)
		}
		if c.LeftOut == dispatch.ExcludedReason {
			s.LeftOut = fmt.Sprintf("has not replayed up to the floor %d/%d", floor.Term, floor.Offset)
		}
		servers = append(servers, s)
	}
	return servers
}

// explainDecision adds what the queue would do.
func explainDecision(e *wire.OwnerExplanation, d dispatch.Explanation) {
	e.PredictedMicroseconds = uint32(d.Predicted.Microseconds())
	switch d.Outcome {
	case dispatch.Started:
		e.Slot = d.Slot
	case dispatch.Waits:
		e.Reason = "waits for a server"
	case dispatch.Refused:
		e.Reason = refusalReasons[d.Refusal.Reason]
		e.Elsewhere = d.Refusal.Reason == dispatch.NoServer
	}
}

func explainElsewhere(e *wire.OwnerExplanation, reason string) *wire.OwnerExplanation {
	e.Elsewhere, e.Reason = true, reason
	return e
}

// withoutServer marks the server that would have been chosen as not reached.
func withoutServer(e *wire.OwnerExplanation) *wire.OwnerExplanation {
	for _, s := range e.GetServers() {
		if s.GetLeftOut() == "" {
			s.LeftOut = "not asked"
		}
	}
	return e
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
