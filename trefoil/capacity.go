package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"trefoilcourse/trefoil/internal/capacity"
)

func newCapacity() *cobra.Command {
	return &cobra.Command{
		Use:   "capacity",
		Short: "Measure what each role costs and work out the table of docs/CAPACITY.md",
		Long:  "Measures for about a minute on this machine; run nothing else meanwhile.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			slopes, err := capacity.Measure(c.Context())
			if err != nil {
				return failed(err)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n%s", slopes.Table(), slopes.List())
			return err
		},
	}
}
