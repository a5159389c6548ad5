package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// outcomes explains each SQLSTATE that the proxy answers by itself.
var outcomes = map[string]string{
	"40003": "Unknown: the request may have run. Look for its effect before sending it again, or send it\nwith a request key (SET trefoil.request_key = '...'), which runs at most once.",
	"TFN01": "Not run: too many requests wait for the database. Send it later, and fewer at once. If it goes\non, the database's connections are too few or its servers too slow: look at 'trefoil status'.",
	"TFN02": "Not run: the deadline would pass before a connection is free. Send it later, or raise\ntrefoil.deadline (milliseconds) in the session.",
	"TFN03": "Not run: the database has no usable primary. A new one is chosen within seconds; if not,\n'trefoil status' says what is waited for, and 'trefoil promote' may help.",
	"TFN04": "Not run: the entry VM cannot confirm its configuration, since no control leader answers it.\nConnect again: another one answers. If all say so, look at the control VMs.",
	"TFN05": "Not run: no entry VM owns the database at this moment. Send it again.",
	"TFN06": "Not run: the backend server was lost before the request was sent, or it was a read.",
	"TFN08": "Not run: the connection was lost before the transaction was to be committed, so that it is\nrolled back. Connect again and repeat the whole transaction.",
	"TFN09": "Not run: the entry VM is stopping. Connect again.",
	"TFN10": "Not run: a setting of the proxy has a wrong value. Settings: trefoil.floor, trefoil.staleness,\ntrefoil.deadline, trefoil.request_key.",
	"57P01": "The entry VM is stopping and nothing was under way. Connect again.",
	"0A000": "Not run: the statement changes session state that shared connections cannot keep: SET without\nLOCAL, LISTEN, PREPARE, temporary tables, session advisory locks, cursors WITH HOLD.",
	"3D000": "The database is not a database-group of the configuration in force.",
}

func newExplain() *cobra.Command {
	var q question
	c := &cobra.Command{
		Use:   "explain {SQLSTATE | --entry HOST:PORT --database DATABASE}",
		Short: "Explain an outcome that the proxy answers, or where a statement would run now",
		Long: `With a SQLSTATE, explains an outcome that the proxy answers by itself, and what to do.

With --database, asks the entry VM whose link address is --entry where it would send a statement outside a
transaction, and the owners of the database on which server it would run, and why. Nothing is run.`,
		Args:      cobra.MaximumNArgs(1),
		ValidArgs: outcomeCodes(),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return q.run(c)
			}
			if c.Flags().NFlag() > 0 {
				return errors.New("give either a SQLSTATE or flags")
			}
			text, ok := outcomes[strings.ToUpper(args[0])]
			if !ok {
				return fmt.Errorf("SQLSTATE %q is not one of the proxy's own: %s; it comes from the backend server", args[0], strings.Join(outcomeCodes(), " "))
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), text)
			return err
		},
	}
	q.register(c)
	return c
}

func outcomeCodes() []string {
	var codes []string
	for code := range outcomes {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	return codes
}
