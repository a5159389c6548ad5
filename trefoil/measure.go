package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"trefoilcourse/trefoil/internal/measure"
)

const (
	defaultMeasure = 90 * time.Second
	demoDuration   = 15 * time.Second
)

var errBroken = errors.New("a promise was broken; the traces are above")

type measureFlags struct {
	seed     uint64
	duration time.Duration
	asJSON   bool
	verbose  bool
	faults   []string
	baseline string
}

func newMeasure() *cobra.Command {
	var f measureFlags
	c := &cobra.Command{
		Use:       "measure kanaat|kirst",
		Short:     "Run a deployment of today's size under faults and judge it",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"kanaat", "kirst"},
		RunE: func(c *cobra.Command, args []string) error {
			d := measure.Kanaat()
			if args[0] == "kirst" {
				d = measure.Kirst()
			}
			return runMeasure(c, d, f)
		},
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the traffic and the faults")
	c.Flags().DurationVar(&f.duration, "duration", defaultMeasure, "how long the traffic runs")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the report as JSON")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "print the daemons' log lines")
	c.Flags().StringSliceVar(&f.faults, "faults", nil, "faults to bring about: "+strings.Join(measure.FaultNames(), ", ")+", or none (default all)")
	c.Flags().StringVar(&f.baseline, "baseline", measure.BaselineNone, "primary-only, static-pools or none")
	return c
}

func runMeasure(c *cobra.Command, d measure.Deployment, f measureFlags) error {
	if err := checkMeasure(f); err != nil {
		return err
	}
	o := measure.Options{
		Deployment: d, Seed: f.seed, Duration: f.duration, Faults: f.faults, Baseline: f.baseline,
		Progress: func(line string) {
			fmt.Fprintf(os.Stderr, "%s %s\n", time.Now().Format(time.TimeOnly), line)
		},
	}
	if f.verbose {
		o.Log = logrus.StandardLogger()
	}
	report, err := measure.Run(c.Context(), o)
	if err != nil {
		return failed(err)
	}
	if f.asJSON {
		encoder := json.NewEncoder(c.OutOrStdout())
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return failed(err)
		}
	} else {
		fmt.Fprint(c.OutOrStdout(), report.Text())
	}
	if !report.Held() {
		return failed(errBroken)
	}
	return nil
}

func checkMeasure(f measureFlags) error {
	for _, name := range f.faults {
		if name != "none" && !slices.Contains(measure.FaultNames(), name) {
			return fmt.Errorf("fault %q does not exist; use %s, or none", name, strings.Join(measure.FaultNames(), ", "))
		}
	}
	switch f.baseline {
	case measure.BaselineNone, measure.BaselinePrimaryOnly, measure.BaselineStaticPools:
		return nil
	}
	return fmt.Errorf("baseline %q does not exist; use primary-only, static-pools or none", f.baseline)
}

func newDemo() *cobra.Command {
	f := measureFlags{baseline: measure.BaselineNone, duration: demoDuration}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment in this process, kill a primary, and judge it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runMeasure(c, measure.Demo(), f)
		},
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the traffic and the faults")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the report as JSON")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "print the daemons' log lines")
	return c
}
