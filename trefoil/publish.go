package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire"
)

var errFaults = errors.New("the configuration has faults; nothing was published")

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE|FOLDER...",
		Short: "Check a whole set of objects without publishing it",
		Long:  "Every fault is printed at once, with its file, line and column, and how to mend it.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			objects, err := checkedObjects(c, args)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%d objects are good\n", len(objects))
			return err
		},
	}
}

func newPublish() *cobra.Command {
	var n connection
	var base int64
	var id, author string
	c := &cobra.Command{
		Use:   "publish FILE|FOLDER...",
		Short: "Publish a whole set of objects and wait until it is in force everywhere",
		Long: `The set replaces the configuration in force. --base is the version that the set builds
on (default: the one in force now); when another operator was first, the publish is refused and
says who. After a lost answer, run it again with the same --id: it gets the first answer.`,
		Example: "  trefoil publish --control 10.0.0.1:7100 config/",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			objects, err := checkedObjects(c, args)
			if err != nil {
				return err
			}
			request := &wire.PublishRequest{Id: id, Author: author, Objects: objects}
			return n.run(c, func(ctx context.Context, client *control.Client) error {
				return publish(ctx, c, client, request, base, n.asJSON)
			})
		},
	}
	n.register(c)
	c.Flags().Int64Var(&base, "base", -1, "version that the set builds on")
	c.Flags().StringVar(&id, "id", control.NewID(), "id of this publish, to send it again")
	c.Flags().StringVar(&author, "author", currentUser(), "who publishes")
	return c
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func publish(ctx context.Context, c *cobra.Command, client *control.Client, r *wire.PublishRequest, base int64, asJSON bool) error {
	if base < 0 {
		current, err := client.Configuration(ctx)
		if err != nil {
			return failed(err)
		}
		base = int64(current.GetVersion())
	}
	r.BaseVersion = uint64(base)
	result, err := client.Publish(ctx, r)
	if err != nil {
		return failed(fmt.Errorf("%w; send it again with --id %s --base %d", err, r.GetId(), base))
	}
	if !result.GetAccepted() {
		reason := result.GetReason()
		if result.GetWinnerId() != "" {
			reason += fmt.Sprintf("; %s published first with id %s: look at 'trefoil diff' and publish again", result.GetWinnerAuthor(), result.GetWinnerId())
		}
		return statusError{errors.New("refused: " + reason), exitRefused}
	}
	began := time.Now()
	err = client.AwaitInForce(ctx, result.GetVersion(), onChange(func(confirmed, all int) {
		fmt.Fprintf(os.Stderr, "version %d: %d of %d entry VMs confirm it\n", result.GetVersion(), confirmed, all)
	}))
	if err != nil {
		return failed(err)
	}
	took := time.Since(began).Round(time.Millisecond)
	if asJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"version": result.GetVersion(), "id": r.GetId(), "in-force-ms": took.Milliseconds()})
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "version %d is in force everywhere after %v\n", result.GetVersion(), took)
	return err
}

// onChange calls show only with numbers that differ from the last ones.
func onChange(show func(confirmed, all int)) func(confirmed, all int) {
	lastConfirmed, lastAll := -1, -1
	return func(confirmed, all int) {
		if confirmed == lastConfirmed && all == lastAll {
			return
		}
		lastConfirmed, lastAll = confirmed, all
		show(confirmed, all)
	}
}
