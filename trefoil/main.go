// Command trefoil is the operators' command line of trefoilcourse.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	if err := newRoot().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "trefoil:", err)
		os.Exit(exitStatus(err))
	}
}
