package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire"
)

func newStatus() *cobra.Command {
	var n connection
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the control VMs, entry VMs and databases, and what they wait for",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return n.run(c, func(ctx context.Context, client *control.Client) error {
				status, err := client.Status(ctx, 0)
				if err != nil {
					return failed(err)
				}
				if n.asJSON {
					return printProto(c.OutOrStdout(), status)
				}
				printStatus(c.OutOrStdout(), status)
				return nil
			})
		},
	}
	n.register(c)
	return c
}

func printStatus(w io.Writer, s *wire.StatusResponse) {
	fmt.Fprintf(w, "control term %d, configuration version %d, log position %d\n", s.GetControlTerm(), s.GetConfigurationVersion(), s.GetCommit())
	for _, m := range s.GetControl().GetMembers() {
		vote := "votes"
		if !m.GetVoter() {
			vote = "has no vote yet"
		}
		fmt.Fprintf(w, "control VM %s at %s %s\n", m.GetVm(), m.GetAddress(), vote)
	}
	for _, m := range s.GetMembers() {
		note := ""
		if m.GetMember().GetDraining() {
			note = ", drains"
		}
		fmt.Fprintf(w, "entry VM %s in %s: configuration version %d, heard %d ms ago%s\n", m.GetMember().GetVm(),
			m.GetMember().GetFailureDomain(), m.GetConfigurationVersion(), m.GetAgeMilliseconds(), note)
	}
	for _, g := range s.GetGroups() {
		printGroup(w, g)
	}
}

func printGroup(w io.Writer, g *wire.GroupStatus) {
	state := g.GetState()
	fmt.Fprintf(w, "database %s: %s, term %d, primary %s, owners %s\n", state.GetGroup(), g.GetPhase(), state.GetTerm(),
		orNone(state.GetPrimarySlot()), orNone(strings.Join(state.GetOwners(), " ")))
	if g.GetNote() != "" {
		fmt.Fprintf(w, "  %s\n", g.GetNote())
	}
	for _, server := range state.GetServers() {
		note := ""
		if !server.GetAdmitted() {
			note += ", does not count yet"
		}
		if server.GetLeaving() {
			note += ", leaves"
		}
		fmt.Fprintf(w, "  slot %s at %s in %s%s\n", server.GetSlot(), server.GetAddress(), server.GetFailureDomain(), note)
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func newPromote() *cobra.Command {
	var n connection
	r := &wire.OperatorRequest{}
	c := &cobra.Command{
		Use:   "promote DATABASE",
		Short: "Change the primary of a database",
		Long: `The server with every acknowledged write among a majority of the slots becomes the primary,
or --slot if it has as much. With --accept-loss a majority is not waited for: writes that were
acknowledged may be lost. Use it only when the other slots are gone for good.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r.PromoteGroup = args[0]
			return operate(c, &n, r, "the change of primary has begun; 'trefoil status' shows it")
		},
	}
	n.register(c)
	c.Flags().StringVar(&r.PromoteSlot, "slot", "", "slot to promote (default: the best)")
	c.Flags().BoolVar(&r.AcceptLoss, "accept-loss", false, "go on without a majority; acknowledged writes may be lost")
	return c
}

func newDrain() *cobra.Command {
	var n connection
	c := &cobra.Command{
		Use:   "drain VM",
		Short: "Stop an entry VM after what is under way there is finished",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return operate(c, &n, &wire.OperatorRequest{DrainVm: args[0]}, "the VM drains; its process ends when nothing is under way")
		},
	}
	n.register(c)
	return c
}

func operate(c *cobra.Command, n *connection, r *wire.OperatorRequest, done string) error {
	return n.run(c, func(ctx context.Context, client *control.Client) error {
		response, err := client.Operate(ctx, r)
		if err != nil {
			return failed(err)
		}
		if !response.GetAccepted() {
			return statusError{errors.New("refused: " + response.GetReason()), exitRefused}
		}
		_, err = fmt.Fprintln(c.OutOrStdout(), done)
		return err
	})
}
