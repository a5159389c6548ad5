package sessions

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/clock"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

const (
	// maxExplainedName and maxExplainedOwners bound the size of an explanation.
	maxExplainedName   = 256
	maxExplainedOwners = 8
	// explanationsPerSecond bounds the explanations of a VM, each of which costs an owner as much as a
	// statement and a copy of its queue.
	explanationsPerSecond = 10
	// explainTimeout is how long an owner is waited for.
	explainTimeout = time.Second
)

// Explainer explains the decisions of an owner; runner.Runner implements it.
type Explainer interface {
	Explain(q *wire.ExplainRequest) *wire.OwnerExplanation
}

// Explain explains where statements would run, as the RPC service "Explain" of an entry VM. It changes nothing
// that decisions depend on.
type Explain struct {
	Sessions *Sessions
	Local    Explainer

	mu    sync.Mutex
	began time.Time
	count int
}

var errTooMany = fmt.Errorf("more than %d explanations in a second; ask again later", explanationsPerSecond)

// allow checks a request, and counts it.
func (e *Explain) allow(q *wire.ExplainRequest) error {
	switch {
	case len(q.GetDatabase()) > maxExplainedName || len(q.GetWorkspace()) > maxExplainedName:
		return fmt.Errorf("a name is longer than %d bytes", maxExplainedName)
	case q.GetKind() != wire.StatementKind_STATEMENT_KIND_READ && q.GetKind() != wire.StatementKind_STATEMENT_KIND_WRITE:
		return errors.New("only reads and writes outside a transaction can be explained")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := clock.Now(); now.Sub(e.began) >= time.Second {
		e.began, e.count = now, 0
	}
	if e.count++; e.count > explanationsPerSecond {
		return errTooMany
	}
	return nil
}

// Owner explains the decision of this VM as an owner.
func (e *Explain) Owner(q *wire.ExplainRequest, a *wire.OwnerExplanation) error {
	if err := e.allow(q); err != nil {
		return err
	}
	proto.Merge(a, e.Local.Explain(q))
	return nil
}

// Route explains where this VM would send a statement, and what the owners would do with it.
func (e *Explain) Route(q *wire.ExplainRequest, a *wire.RouteExplanation) error {
	if err := e.allow(q); err != nil {
		return err
	}
	return e.route(context.Background(), q, a)
}

func (e *Explain) route(ctx context.Context, q *wire.ExplainRequest, a *wire.RouteExplanation) error {
	s := e.Sessions
	d, _, staleness, ok := s.View.Database(q.GetDatabase())
	if !ok {
		return fmt.Errorf("no database is named %q in configuration version %d", q.GetDatabase(), s.View.Version())
	}
	a.Vm, a.FailureDomain, a.ConfigurationVersion = s.VM, s.FailureDomain, s.View.Version()
	a.ConfirmedMilliseconds, a.Old = uint32(max(0, s.View.ConfirmationAge().Milliseconds())), !s.View.Confirmed()
	a.Group, a.Consistency, a.StalenessMilliseconds = d.Group, d.Consistency, uint32(staleness.Milliseconds())
	a.LatencyMilliseconds, a.Priority = uint32(d.LatencyMilliseconds), uint32(d.Priority)
	a.WorkspaceUnknown = q.GetWorkspace() != "" && !s.View.HasWorkspace(q.GetWorkspace())
	if s.RecentlySuspended != nil && s.RecentlySuspended() {
		a.Decision = "not run: this entry VM stood still until now"
		return nil
	}
	owners := s.owners(d.Group, needsPrimary(&wire.StatementRequest{Kind: q.GetKind()}, d))
	a.Owners = e.askOwners(ctx, owners[:min(len(owners), maxExplainedOwners)], q)
	decide(a)
	return nil
}

// decide adds the decision: the first owner that does not send the statement elsewhere runs it.
func decide(a *wire.RouteExplanation) {
	for _, o := range a.GetOwners() {
		switch {
		case o.GetElsewhere():
			continue
		case o.GetSlot() != "":
			a.Owner, a.Slot = o.GetVm(), o.GetSlot()
			a.Decision = fmt.Sprintf("runs at once on %s, given by owner %s", o.GetSlot(), o.GetVm())
		default:
			a.Owner = o.GetVm()
			a.Decision = fmt.Sprintf("at owner %s: %s", o.GetVm(), o.GetReason())
		}
		return
	}
	a.Decision = "waits for an owner, and is refused if none takes it: no entry VM owns the group"
	if owners := a.GetOwners(); len(owners) > 0 {
		a.Decision = "waits for an owner, and is refused if none takes it: " + owners[len(owners)-1].GetReason()
	}
}

// askOwners asks the owners at the same time, and returns their explanations in the same order.
func (e *Explain) askOwners(ctx context.Context, owners []string, q *wire.ExplainRequest) []*wire.OwnerExplanation {
	explanations := make([]*wire.OwnerExplanation, len(owners))
	var asked sync.WaitGroup
	for i, vm := range owners {
		asked.Go(func() {
			explanations[i] = e.askOwner(ctx, vm, q)
			explanations[i].Vm = vm
		})
	}
	asked.Wait()
	return explanations
}

// askOwner asks an owner on a connection of its own: an answer on the link, or none, would change what is known of the
// owner.
func (e *Explain) askOwner(ctx context.Context, vm string, q *wire.ExplainRequest) *wire.OwnerExplanation {
	s := e.Sessions
	if vm == s.VM {
		return e.Local.Explain(q)
	}
	m := s.View.Member(vm)
	if m == nil {
		return &wire.OwnerExplanation{Elsewhere: true, Reason: "the owner is not up"}
	}
	if s.link(m.GetLinkAddress()).isUnreachable() {
		return &wire.OwnerExplanation{Elsewhere: true, Reason: "the owner is out of reach"}
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	client := protorpc.Client{Address: m.GetLinkAddress(), Dialer: s.Dialer}
	defer client.Close()
	a := &wire.OwnerExplanation{}
	if err := client.Call(ctx, "Explain.Owner", q, a); err != nil {
		// A statement is sent to this owner all the same, so that it is not left out.
		return &wire.OwnerExplanation{Reason: "sent there; the owner does not explain its decision: " + err.Error()}
	}
	return a
}
