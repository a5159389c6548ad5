package runner

import (
	"context"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/quota"
	"trefoilcourse/wire"
)

// usageLogInterval is the shortest time between two log lines on refusals because of usage caps.
const usageLogInterval = time.Second

// usage is what this owner holds of the usage caps of workspaces. It is safe for concurrent use.
type usage struct {
	mu     sync.Mutex
	holder quota.Holder
	lastID uint64
	// waiting holds the operations that wait for an allowance by their ids.
	waiting map[uint64]chan quota.Decision
	// loggedAt is when a refusal was last logged, and notLogged the number of refusals since.
	loggedAt  time.Time
	notLogged int
}

// admission is that of a statement which starts an operation of a workspace with a usage cap.
type admission struct {
	admitted, started, settled bool
	epoch                      uint64
}

// report adds what this owner holds and wants to a renewal.
func (u *usage) report(now time.Time, request *wire.RenewRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	request.Usage, request.UsagePartial = u.holder.Report(now)
}

// waits returns the number of operations that wait for an allowance.
func (u *usage) waits() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.waiting)
}

// ApplyAllowances takes in the allowances of a renewal's response that was applied.
func (r *Runner) ApplyAllowances(sentAt time.Time, response *wire.RenewResponse) {
	u := &r.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holder.SetRequestInterval(time.Duration(response.GetAllowanceMilliseconds()) * time.Millisecond)
	lease := time.Duration(response.GetLeaseMilliseconds()) * time.Millisecond
	u.deliver(u.holder.Apply(clock.Now(), sentAt, lease, quota.Leased(response.GetGrants()), response.GetAllowances()))
}

// deliver passes decisions on to the operations that wait for them; mu is held.
func (u *usage) deliver(decisions []quota.Decision) {
	for _, d := range decisions {
		u.waiting[d.ID] <- d
		delete(u.waiting, d.ID)
	}
}

// requestAllowances asks for an early renewal if operations wait for an allowance and the last request is
// long enough ago.
func (r *Runner) requestAllowances() {
	r.usage.mu.Lock()
	due := r.usage.holder.RequestRenewal(clock.Now())
	r.usage.mu.Unlock()
	if due {
		r.Metrics.UsageRenewals.Add(1)
		r.RequestRenewal()
	}
}

// admit waits until the workspace of a statement that starts an operation may start it; the answer gives
// the reason if it may not. No server and no connection is held meanwhile.
func (r *Runner) admit(ctx context.Context, w *workItem) *wire.StatementAnswer {
	workspace := w.request.GetWorkspace()
	if workspace == "" || !r.View.Capped(workspace) {
		return nil
	}
	arrived := clock.Now()
	operation := quota.Operation{Workspace: workspace, Priority: w.database.Priority, Until: w.admitUntil()}
	d, decided := r.usage.submit(arrived, operation)
	if decided != nil {
		r.Metrics.UsageWaits.Add(1)
		r.requestAllowances()
		d = r.usage.await(ctx, d.ID, operation, decided)
		w.waitMicros.Add(clock.Now().Sub(arrived).Microseconds())
	}
	if d.Outcome == quota.Refused {
		return r.refuseUsage(workspace, d)
	}
	w.mu.Lock()
	w.admission = admission{admitted: true, epoch: d.Epoch}
	w.mu.Unlock()
	return nil
}

// admitUntil returns until when a statement may wait for an allowance: a quarter of its target, or half
// of its time if it has no target, is left for the server.
func (w *workItem) admitUntil() time.Time {
	now := clock.Now()
	half := now.Add(w.deadline.Sub(now) / 2)
	target := time.Duration(w.database.LatencyMilliseconds) * time.Millisecond
	if until := w.receivedAt.Add(target * 3 / 4); target > 0 && until.Before(half) {
		return until
	}
	return half
}

// submit returns the decision on an operation, or a channel for it if the operation waits.
func (u *usage) submit(now time.Time, o quota.Operation) (quota.Decision, <-chan quota.Decision) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastID++
	o.ID = u.lastID
	d := u.holder.Admit(now, o)
	if d.Outcome != quota.Waiting {
		return d, nil
	}
	if u.waiting == nil {
		u.waiting = map[uint64]chan quota.Decision{}
	}
	decided := make(chan quota.Decision, 1)
	u.waiting[o.ID] = decided
	return d, decided
}

// await returns the decision on a waiting operation, which is refused when its time or ctx ends.
func (u *usage) await(ctx context.Context, id uint64, o quota.Operation, decided <-chan quota.Decision) quota.Decision {
	timer := time.NewTimer(o.Until.Sub(clock.Now()))
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	u.mu.Lock()
	if d, ok := u.holder.Cancel(clock.Now(), o.Workspace, id); ok {
		delete(u.waiting, id)
		u.mu.Unlock()
		return d
	}
	u.mu.Unlock()
	return <-decided
}

// start uses the admission of a statement up when it is first given to a server. It reports false if
// this owner does not hold the operation any more.
func (w *workItem) start() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &w.admission
	if !a.admitted || a.started {
		return true
	}
	u := &w.group.runner.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	a.started = !a.settled && u.holder.Spend(clock.Now(), w.request.GetWorkspace(), a.epoch)
	return a.started
}

// settle gives back the admission of a statement that was given to no server.
func (w *workItem) settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &w.admission
	if !a.admitted || a.started || a.settled {
		return
	}
	a.settled = true
	u := &w.group.runner.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deliver(u.holder.Return(clock.Now(), w.request.GetWorkspace(), a.epoch))
}

// usageReason returns why an operation is refused because of a usage cap.
func usageReason(exhausted bool) string {
	if exhausted {
		return "the workspace's usage cap is used up"
	}
	return "this entry VM holds no operations of the workspace's usage cap"
}

// refuseUsage answers and logs a refusal because of a usage cap.
func (r *Runner) refuseUsage(workspace string, d quota.Decision) *wire.StatementAnswer {
	reason := usageReason(d.Exhausted)
	r.Metrics.CountUsageRefusal(workspace)
	r.logUsageRefusal(workspace, reason, d)
	return &wire.StatementAnswer{
		Disposition: wire.Disposition_DISPOSITION_NOT_RUN, Reason: reason,
		RetryMilliseconds: uint32(max(d.RetryAfter, minRetryDelay).Milliseconds()),
	}
}

// logUsageRefusal logs a refusal, at most one in usageLogInterval.
func (r *Runner) logUsageRefusal(workspace, reason string, d quota.Decision) {
	now := clock.Now()
	u := &r.usage
	u.mu.Lock()
	held, age := u.holder.Held(now, workspace)
	skipped := u.notLogged
	due := u.loggedAt.IsZero() || now.Sub(u.loggedAt) >= usageLogInterval
	if due {
		u.loggedAt, u.notLogged = now, 0
	} else {
		u.notLogged++
	}
	u.mu.Unlock()
	if !due {
		return
	}
	r.Log.WithFields(map[string]any{
		"workspace": workspace, "reason": reason, "held": held, "answer-age-ms": age.Milliseconds(),
		"configuration": r.View.Version(), "retry-ms": d.RetryAfter.Milliseconds(), "not-logged-before": skipped,
	}).Info("operation refused by a usage cap")
}
