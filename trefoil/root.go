package main

import (
	"errors"

	"github.com/spf13/cobra"
)

// The exit statuses of trefoil.
const (
	exitFailure = 1
	exitUsage   = 2
	exitRefused = 3
	exitNoReply = 4
)

// statusError is an error with an exit status of its own.
type statusError struct {
	error
	status int
}

func exitStatus(err error) int {
	var s statusError
	if errors.As(err, &s) {
		return s.status
	}
	return exitUsage
}

func failed(err error) error { return statusError{err, exitFailure} }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "trefoil",
		Short:         "Operate trefoilcourse, a database proxy with session consistency",
		SilenceErrors: true,
		SilenceUsage:  true,
		Long: `trefoil checks and publishes configuration, shows what is in force, and measures.

Exit statuses: 0 all is well, 1 a promise was broken or a check failed, 2 wrong use,
3 a publish or an order was refused, 4 no control VM answered.`,
	}
	root.AddCommand(
		newCheck(), newPublish(), newShow(), newDiff(), newHistory(), newStatus(), newExplain(),
		newPromote(), newDrain(), newCertify(), newBurn(), newDemo(), newMeasure(), newOverload(), newCapacity(),
	)
	return root
}
