// Command trefoil-standin simulates groups of backend servers as configured by a settings file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"trefoilcourse/coord/settings"
	"trefoilcourse/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "trefoil-standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:           "trefoil-standin --settings FILE",
		Short:         "Simulate groups of backend servers, for trying out the system",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(c *cobra.Command, _ []string) error {
			var s standin.Settings
			if err := settings.Load(path, &s); err != nil {
				return err
			}
			return run(c.Context(), s)
		},
	}
	c.Flags().StringVar(&path, "settings", "standin.hujson", "settings file, JSON with comments")
	return c
}

func run(ctx context.Context, s standin.Settings) error {
	groups := s.NewGroups()
	for _, g := range groups {
		if err := g.Start(ctx); err != nil {
			return fmt.Errorf("group %q: %w", g.Name, err)
		}
	}
	<-ctx.Done()
	for _, g := range groups {
		g.Stop()
	}
	return nil
}
