// Command trefoil-entry runs an entry VM from a settings file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"trefoilcourse/entry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "trefoil-entry:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	var check bool
	c := &cobra.Command{
		Use:           "trefoil-entry --settings FILE",
		Short:         "Serve callers, own databases, and take backend servers' announcements",
		Long:          "Runs until SIGTERM or SIGINT, then drains: what is under way is finished first.",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := entry.LoadSettings(path)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(c.OutOrStdout(), "the settings are good")
				return nil
			}
			if heap := s.Limits().Heap; heap > 0 {
				debug.SetMemoryLimit(heap)
			}
			logrus.SetFormatter(&logrus.JSONFormatter{})
			server := &entry.Server{Settings: s}
			return server.Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "entry.hujson", "settings file, JSON with comments")
	c.Flags().BoolVar(&check, "check-settings", false, "check the settings and stop")
	return c
}
