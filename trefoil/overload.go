package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"trefoilcourse/trefoil/internal/measure"
)

var errGoodput = errors.New("goodput at five times the capacity is below 80% of the best")

func newOverload() *cobra.Command {
	var seed uint64
	var asJSON bool
	c := &cobra.Command{
		Use:   "overload",
		Short: "Offer a database more than it can serve, and count what is answered in time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			steps, err := measure.Overload(c.Context(), seed, func(line string) {
				if !asJSON {
					fmt.Fprintln(c.OutOrStdout(), line)
				}
			})
			if err != nil {
				return failed(err)
			}
			if asJSON {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(steps); err != nil {
					return failed(err)
				}
			}
			if !measure.GoodputHeld(steps) {
				return failed(errGoodput)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrivals")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}
