package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"trefoilcourse/wire"
)

const (
	// usePeriod is the time over which an owner averages its use of a workspace. A single operation in
	// it asks for no more than the reserve.
	usePeriod = 2 * time.Second
	// useAhead is the time for which an owner holds operations: two renewals.
	useAhead = 1200 * time.Millisecond
	// activePeriod is how long after its last operation a workspace counts as active at an owner, which
	// then keeps a reserve of one operation for it.
	activePeriod = 10 * time.Second
	// maxWaiting limits the operations of a workspace that wait at an owner.
	maxWaiting = 256
	// minRequestInterval and maxRequestInterval bound the time between two early renewals that an owner
	// asks for. The interval doubles with each request until operations that wait are decided.
	minRequestInterval = 50 * time.Millisecond
	maxRequestInterval = 400 * time.Millisecond
	// fullReportInterval is the time between two reports of all workspaces; others leave out those of
	// which nothing has changed. It is shorter than a lease.
	fullReportInterval = time.Second
)

// Outcome is what a Holder decided on an operation.
type Outcome int

// Outcomes of an operation.
const (
	// Admitted operations may start; Spend or Return must follow.
	Admitted Outcome = iota
	// Refused operations do not start.
	Refused
	// Waiting operations are decided by a later Apply, or by Cancel.
	Waiting
)

// Decision is the outcome of an operation.
type Decision struct {
	ID      uint64
	Outcome Outcome
	// Epoch is that of the admission; Spend and Return need it.
	Epoch uint64
	// Exhausted says that an operation was refused because all owners together have used the cap up;
	// others are refused because this owner holds no operations now.
	Exhausted bool
	// RetryAfter is when a refused operation may be tried again.
	RetryAfter time.Duration
}

// Operation is a single statement or a transaction that is to start.
type Operation struct {
	ID        uint64
	Workspace string
	// Priority orders operations that wait; lower numbers are first.
	Priority int
	// Until is when the operation could not meet its target any more.
	Until time.Time
}

// Holder is an owner's record of the operations that it may start; it is not safe for concurrent use.
type Holder struct {
	workspaces map[string]*holding
	validUntil time.Time
	answeredAt time.Time
	// epoch changes when all held operations are dropped.
	epoch           uint64
	requestedAt     time.Time
	requestInterval time.Duration
	// leaderInterval is the least time between two requests that the leader asks for.
	leaderInterval time.Duration
	// reportedAt and reportedPartial are those of the latest report, which is unanswered until Apply.
	// fullAt is that of the latest answered report of all workspaces, or zero.
	reportedAt                  time.Time
	reportedPartial, unanswered bool
	fullAt                      time.Time
}

// holding is what an owner holds of one workspace.
type holding struct {
	// held operations may be admitted; reserved ones are admitted and have not started.
	held, reserved int
	// used, refused and returned are counted since the last applied answer; reported is what the latest
	// report said of them.
	used, refused, returned int
	reported                struct{ used, refused, returned, wanted int }
	demand                  average
	activeUntil             time.Time
	exhaustedUntil          time.Time
	// refusals counts those since the last answer, to spread their retries.
	refusals int
	waiting  []Operation
}

// Admit decides on an operation.
func (h *Holder) Admit(now time.Time, o Operation) Decision {
	h.expire(now)
	w := h.workspace(o.Workspace)
	w.demand.add(now, 1)
	w.activeUntil = now.Add(activePeriod)
	switch w.outcome(now, o) {
	case Admitted:
		return h.admit(w, o)
	case Refused:
		return w.refuse(now, o)
	}
	i := slices.IndexFunc(w.waiting, func(other Operation) bool { return other.Priority > o.Priority })
	if i < 0 {
		i = len(w.waiting)
	}
	w.waiting = slices.Insert(w.waiting, i, o)
	return Decision{ID: o.ID, Outcome: Waiting}
}

// Cancel refuses an operation that still waits, and reports false if it does not wait any more.
func (h *Holder) Cancel(now time.Time, workspace string, id uint64) (Decision, bool) {
	w := h.workspaces[workspace]
	if w == nil {
		return Decision{}, false
	}
	i := slices.IndexFunc(w.waiting, func(o Operation) bool { return o.ID == id })
	if i < 0 {
		return Decision{}, false
	}
	o := w.waiting[i]
	w.waiting = slices.Delete(w.waiting, i, i+1)
	return w.refuse(now, o), true
}

// Spend uses an admitted operation up, which then starts. It reports false if this owner does not hold
// the operation any more; it must not start then.
func (h *Holder) Spend(now time.Time, workspace string, epoch uint64) bool {
	h.expire(now)
	if epoch != h.epoch {
		return false
	}
	w := h.workspaces[workspace]
	w.reserved--
	w.used++
	return true
}

// Return gives back an admitted operation that did not start, and decides on those that wait for it.
func (h *Holder) Return(now time.Time, workspace string, epoch uint64) []Decision {
	h.expire(now)
	if epoch != h.epoch {
		return nil
	}
	w := h.workspaces[workspace]
	w.reserved--
	w.held++
	return h.admitWaiting(w)
}

// Report returns the usage to send with a renewal. What this owner holds beyond its wants is given back
// here, so it must be called once for each renewal that is sent. A partial report leaves out workspaces
// of which nothing has changed since the last answer.
func (h *Holder) Report(now time.Time) (usage []*wire.WorkspaceUsage, partial bool) {
	h.expire(now)
	partial = len(h.workspaces) > 0 && !h.unanswered && !h.fullAt.IsZero() && now.Sub(h.fullAt) < fullReportInterval
	h.reportedAt, h.reportedPartial, h.unanswered = now, partial, true
	for _, name := range slices.Sorted(maps.Keys(h.workspaces)) {
		w := h.workspaces[name]
		target := w.target(now)
		w.giveBack(target)
		u := &wire.WorkspaceUsage{
			Workspace: name, Held: uint32(w.held + w.reserved), Used: uint32(w.used), Refused: uint32(w.refused),
			Returned: uint32(w.returned), Wanted: uint32(w.reserved + len(w.waiting) + target), Waiting: uint32(len(w.waiting)),
		}
		unchanged := u.Used == 0 && u.Refused == 0 && u.Returned == 0 && u.Waiting == 0 && w.reported.wanted == int(u.Wanted)
		w.reported.used, w.reported.refused, w.reported.returned, w.reported.wanted = w.used, w.refused, w.returned, int(u.Wanted)
		switch {
		case partial && unchanged:
		case !partial && unchanged && u.Held == 0 && u.Wanted == 0:
			delete(h.workspaces, name)
		default:
			usage = append(usage, u)
		}
	}
	return usage, partial
}

// Apply takes in the allowances of an answer to the latest report, which was sent at sentAt, and returns
// the decisions on operations that waited. What is held ends lease after sentAt. Without a lease on any
// group this owner holds nothing.
func (h *Holder) Apply(now, sentAt time.Time, lease time.Duration, leased bool, allowances []*wire.Allowance) []Decision {
	h.expire(now)
	h.answeredAt = sentAt
	h.unanswered = false
	if !h.reportedPartial {
		h.fullAt = h.reportedAt
	}
	h.validUntil = sentAt.Add(lease)
	if !leased {
		h.drop()
	}
	for _, w := range h.workspaces {
		w.used -= w.reported.used
		w.refused -= w.reported.refused
		w.returned -= w.reported.returned
		w.reported.used, w.reported.refused, w.reported.returned = 0, 0, 0
		w.exhaustedUntil, w.refusals = time.Time{}, 0
	}
	if !leased || !now.Before(h.validUntil) {
		return nil
	}
	var decided []Decision
	for _, a := range allowances {
		w := h.workspaces[a.GetWorkspace()]
		if w == nil {
			continue
		}
		w.held += int(a.GetOperations())
		w.giveBack(int(a.GetLimit()) - w.reserved)
		decided = append(decided, h.admitWaiting(w)...)
		if a.GetRetryMilliseconds() > 0 {
			w.exhaustedUntil = now.Add(time.Duration(a.GetRetryMilliseconds()) * time.Millisecond)
			for _, o := range w.waiting {
				decided = append(decided, w.refuse(now, o))
			}
			w.waiting = nil
		}
	}
	if len(decided) > 0 {
		h.requestInterval = 0
	}
	return decided
}

// RequestRenewal reports whether an early renewal is to be asked for now, because operations wait and the
// last request is long enough ago.
func (h *Holder) RequestRenewal(now time.Time) bool {
	interval := max(minRequestInterval, h.leaderInterval, h.requestInterval)
	if !h.waits() || now.Sub(h.requestedAt) < interval {
		return false
	}
	h.requestedAt = now
	h.requestInterval = min(maxRequestInterval, 2*interval)
	return true
}

// SetRequestInterval sets the least time between two early renewals, by the leader's latest answer.
func (h *Holder) SetRequestInterval(interval time.Duration) { h.leaderInterval = interval }

// Held returns how many operations of a workspace this owner holds, including those of admitted
// operations that have not started, and the age of the last answer, which is negative if there was none.
func (h *Holder) Held(now time.Time, workspace string) (operations int, age time.Duration) {
	h.expire(now)
	if w := h.workspaces[workspace]; w != nil {
		operations = w.held + w.reserved
	}
	if h.answeredAt.IsZero() {
		return operations, -1
	}
	return operations, now.Sub(h.answeredAt)
}

func (h *Holder) waits() bool {
	for _, w := range h.workspaces {
		if len(w.waiting) > 0 {
			return true
		}
	}
	return false
}

func (h *Holder) workspace(name string) *holding {
	if h.workspaces == nil {
		h.workspaces = map[string]*holding{}
	}
	if h.workspaces[name] == nil {
		h.workspaces[name] = &holding{demand: average{period: usePeriod}}
	}
	return h.workspaces[name]
}

// expire drops all held operations when this owner has had no answer for the lease's duration.
func (h *Holder) expire(now time.Time) {
	if h.validUntil.IsZero() || now.Before(h.validUntil) {
		return
	}
	h.validUntil = time.Time{}
	h.drop()
}

// drop drops all held operations. What was used before is not reported any more: the leader may have
// counted it as expired, and the next leader must not replace it.
func (h *Holder) drop() {
	h.epoch++
	h.fullAt = time.Time{}
	for _, w := range h.workspaces {
		w.held, w.reserved, w.used, w.returned = 0, 0, 0, 0
		w.reported.used, w.reported.returned = 0, 0
	}
}

func (h *Holder) admit(w *holding, o Operation) Decision {
	w.held--
	w.reserved++
	return Decision{ID: o.ID, Outcome: Admitted, Epoch: h.epoch}
}

func (h *Holder) admitWaiting(w *holding) []Decision {
	var decided []Decision
	for w.held > 0 && len(w.waiting) > 0 {
		decided = append(decided, h.admit(w, w.waiting[0]))
		w.waiting = w.waiting[1:]
	}
	return decided
}

// refuse refuses an operation. Retries are spread evenly over the time after which operations are
// available again, by multiples of the golden ratio.
func (w *holding) refuse(now time.Time, o Operation) Decision {
	w.refused++
	w.refusals++
	wait := max(minRetry, w.exhaustedUntil.Sub(now))
	_, fraction := math.Modf(float64(w.refusals) * math.Phi)
	return Decision{
		ID: o.ID, Outcome: Refused, Exhausted: now.Before(w.exhaustedUntil),
		RetryAfter: wait + time.Duration(fraction*float64(wait)),
	}
}

// target returns how many operations this owner wants to hold beside those that wait or are admitted.
func (w *holding) target(now time.Time) int {
	if now.After(w.activeUntil) {
		return 0
	}
	use := w.demand.perSecond(now) * useAhead.Seconds()
	if use < 1 {
		return 1
	}
	return int(math.Ceil(use))
}

// giveBack drops the operations held beyond limit.
func (w *holding) giveBack(limit int) {
	excess := w.held - max(0, limit)
	if excess > 0 {
		w.held -= excess
		w.returned += excess
	}
}
