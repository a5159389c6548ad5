package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"trefoilcourse/wire"
	"trefoilcourse/wire/identity"
	"trefoilcourse/wire/protorpc"
)

// explainTimeout is longer than an entry VM waits for an owner.
const explainTimeout = 3 * time.Second

// question is the statement to explain, and the entry VM to ask.
type question struct {
	entry, database, workspace, kind, floor string
	timeout                                 time.Duration
	asJSON                                  bool
	files                                   identity.Files
}

func (q *question) register(c *cobra.Command) {
	c.Flags().StringVar(&q.entry, "entry", "", "link address of an entry VM")
	c.Flags().StringVar(&q.database, "database", "", "database of the statement")
	c.Flags().StringVar(&q.workspace, "workspace", "", "name of the caller's workspace, not its key")
	c.Flags().StringVar(&q.kind, "kind", "read", "read or write")
	c.Flags().StringVar(&q.floor, "floor", "", "position that the session has seen, as TERM/OFFSET")
	c.Flags().DurationVar(&q.timeout, "timeout", explainTimeout, "how long to wait")
	c.Flags().StringVar(&q.files.Certificate, "certificate", "", "certificate file, where the system uses TLS")
	c.Flags().StringVar(&q.files.Key, "key", "", "key file of the certificate")
	c.Flags().StringVar(&q.files.Authority, "authority", "", "certificate file of the authority")
	c.Flags().BoolVar(&q.asJSON, "json", false, "print JSON")
}

// request checks the flags and returns the request.
func (q *question) request() (*wire.ExplainRequest, error) {
	r := &wire.ExplainRequest{Database: q.database, Workspace: q.workspace}
	if q.entry == "" || q.database == "" {
		return nil, errors.New("give a SQLSTATE, or --entry HOST:PORT and --database DATABASE")
	}
	if _, _, err := net.SplitHostPort(q.entry); err != nil {
		return nil, fmt.Errorf("--entry %q is not HOST:PORT", q.entry)
	}
	switch q.kind {
	case "read":
	case "write":
		r.Kind = wire.StatementKind_STATEMENT_KIND_WRITE
	default:
		return nil, fmt.Errorf("--kind %q is neither read nor write", q.kind)
	}
	if q.floor == "" {
		return r, nil
	}
	term, offset, _ := strings.Cut(q.floor, "/")
	t, termErr := strconv.ParseUint(term, 10, 64)
	o, offsetErr := strconv.ParseUint(offset, 10, 64)
	if termErr != nil || offsetErr != nil {
		return nil, fmt.Errorf("--floor %q is not TERM/OFFSET", q.floor)
	}
	r.Floor = &wire.Position{Term: t, Offset: o}
	return r, nil
}

func (q *question) run(c *cobra.Command) error {
	r, err := q.request()
	if err != nil {
		return err
	}
	client := &protorpc.Client{Address: q.entry}
	if q.files.Certificate != "" {
		id := &identity.Identity{Files: q.files}
		if err := id.Check(); err != nil {
			return err
		}
		client.Dialer = &identity.Dialer{Identity: id}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(c.Context(), q.timeout)
	defer cancel()
	a := &wire.RouteExplanation{}
	if err := client.Call(ctx, "Explain.Route", r, a); err != nil {
		var refused rpc.ServerError
		if errors.As(err, &refused) {
			return statusError{fmt.Errorf("entry VM at %s: %w", q.entry, err), exitRefused}
		}
		return statusError{fmt.Errorf("entry VM at %s does not answer: %w", q.entry, err), exitNoReply}
	}
	if q.asJSON {
		return printProto(c.OutOrStdout(), a)
	}
	printExplanation(c.OutOrStdout(), r, a)
	return nil
}

func printExplanation(w io.Writer, r *wire.ExplainRequest, a *wire.RouteExplanation) {
	kind := "read"
	if r.GetKind() == wire.StatementKind_STATEMENT_KIND_WRITE {
		kind = "write"
	}
	fmt.Fprintf(w, "%s of database %s: %s\n", kind, r.GetDatabase(), a.GetDecision())
	fmt.Fprintf(w, "entry VM %s in %s: configuration version %d, confirmed %d ms ago%s\n",
		a.GetVm(), a.GetFailureDomain(), a.GetConfigurationVersion(), a.GetConfirmedMilliseconds(), mark(a.GetOld(), " (old)"))
	fmt.Fprintf(w, "route: group %s, consistency %s, staleness %d ms, target %d ms, priority %d\n",
		a.GetGroup(), a.GetConsistency(), a.GetStalenessMilliseconds(), a.GetLatencyMilliseconds(), a.GetPriority())
	if r.GetWorkspace() != "" {
		fmt.Fprintf(w, "workspace %s%s\n", r.GetWorkspace(), mark(a.GetWorkspaceUnknown(), ": not configured"))
	}
	for _, o := range a.GetOwners() {
		printOwnerExplanation(w, o)
	}
}

func printOwnerExplanation(w io.Writer, o *wire.OwnerExplanation) {
	outcome := "runs it on " + o.GetSlot()
	if o.GetSlot() == "" {
		outcome = mark(o.GetElsewhere(), "sends it elsewhere: ") + o.GetReason()
	}
	fmt.Fprintf(w, "owner %s: %s\n", o.GetVm(), outcome)
	if o.GetConfigurationVersion() == 0 {
		return
	}
	fmt.Fprintf(w, "  configuration version %d, confirmed %d ms ago; term %d, %d waiting, answer predicted in %s\n",
		o.GetConfigurationVersion(), o.GetConfirmedMilliseconds(), o.GetTerm(), o.GetWaiting(), inMilliseconds(o.GetPredictedMicroseconds()))
	if o.GetFloor() != nil {
		fmt.Fprintf(w, "  floor %s\n", positionText(o.GetFloor()))
	}
	if o.GetCapped() {
		fmt.Fprintf(w, "  holds %d operations of the usage cap, by an answer %d ms ago\n", o.GetHeld(), o.GetAllowanceAgeMilliseconds())
	}
	for _, s := range o.GetServers() {
		fmt.Fprintf(w, "  server %s in %s%s: runs %d of %d, predicted service time %s, cost %s", s.GetSlot(), s.GetFailureDomain(),
			mark(s.GetPrimary(), ", primary"), s.GetRunning(), s.GetLimit(), inMilliseconds(s.GetServiceMicroseconds()), inMilliseconds(s.GetCostMicroseconds()))
		if s.GetKnown() {
			fmt.Fprintf(w, ", at %s %d ms ago%s, %d ms behind", positionText(s.GetPosition()), s.GetAgeMilliseconds(), mark(s.GetOld(), " (old)"), s.GetLagMilliseconds())
		}
		if s.GetLeftOut() != "" {
			fmt.Fprintf(w, "; left out: %s", s.GetLeftOut())
		}
		fmt.Fprintln(w)
	}
}

func positionText(p *wire.Position) string { return fmt.Sprintf("%d/%d", p.GetTerm(), p.GetOffset()) }

func inMilliseconds(microseconds uint32) string {
	return fmt.Sprintf("%.1f ms", float64(microseconds)/1000)
}

func mark(set bool, text string) string {
	if set {
		return text
	}
	return ""
}
