package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire"
)

// printProto prints a message as JSON.
func printProto(w io.Writer, m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

func newShow() *cobra.Command {
	var n connection
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force as a file that can be published",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return n.run(c, func(ctx context.Context, client *control.Client) error {
				current, err := client.Configuration(ctx)
				if err != nil {
					return failed(err)
				}
				if n.asJSON {
					return printProto(c.OutOrStdout(), current)
				}
				return printObjects(c.OutOrStdout(), current)
			})
		},
	}
	n.register(c)
	return c
}

func printObjects(w io.Writer, current *wire.ConfigurationResponse) error {
	kinds := map[string]map[string]json.RawMessage{}
	for _, o := range current.GetObjects() {
		if kinds[o.GetKind()] == nil {
			kinds[o.GetKind()] = map[string]json.RawMessage{}
		}
		kinds[o.GetKind()][o.GetName()] = o.GetBody()
	}
	data, err := json.MarshalIndent(kinds, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "// version %d\n%s\n", current.GetVersion(), data)
	return err
}

func newDiff() *cobra.Command {
	var n connection
	c := &cobra.Command{
		Use:   "diff FILE|FOLDER...",
		Short: "Show what a publish of these files would change",
		Long:  "Ends with status 0 when nothing would change and with 1 when something would.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			objects, err := checkedObjects(c, args)
			if err != nil {
				return err
			}
			return n.run(c, func(ctx context.Context, client *control.Client) error {
				current, err := client.Configuration(ctx)
				if err != nil {
					return failed(err)
				}
				if changes := printDiff(c.OutOrStdout(), current.GetObjects(), objects); changes > 0 {
					return failed(fmt.Errorf("%d objects would change from version %d", changes, current.GetVersion()))
				}
				return nil
			})
		},
	}
	n.register(c)
	return c
}

func printDiff(w io.Writer, before, after []*wire.Object) int {
	bodies := map[string][2][]byte{}
	for _, o := range before {
		key := o.GetKind() + "/" + o.GetName()
		bodies[key] = [2][]byte{o.GetBody(), nil}
	}
	for _, o := range after {
		key := o.GetKind() + "/" + o.GetName()
		bodies[key] = [2][]byte{bodies[key][0], o.GetBody()}
	}
	var keys []string
	for key, pair := range bodies {
		if !bytes.Equal(pair[0], pair[1]) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if pair := bodies[key]; pair[0] != nil {
			fmt.Fprintf(w, "- %s %s\n", key, pair[0])
		}
		if pair := bodies[key]; pair[1] != nil {
			fmt.Fprintf(w, "+ %s %s\n", key, pair[1])
		}
	}
	return len(keys)
}

func newHistory() *cobra.Command {
	var n connection
	c := &cobra.Command{
		Use:   "history",
		Short: "List the accepted versions of the configuration",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return n.run(c, func(ctx context.Context, client *control.Client) error {
				current, err := client.Configuration(ctx)
				if err != nil {
					return failed(err)
				}
				if n.asJSON {
					return printProto(c.OutOrStdout(), &wire.ConfigurationResponse{History: current.GetHistory()})
				}
				for _, h := range current.GetHistory() {
					fmt.Fprintf(c.OutOrStdout(), "version %d by %s, id %s, %d objects changed\n", h.GetVersion(), h.GetAuthor(), h.GetId(), h.GetChanged())
				}
				return nil
			})
		},
	}
	n.register(c)
	return c
}
