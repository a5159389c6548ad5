package main

import (
	"context"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire/identity"
)

const (
	controlVariable = "TREFOIL_CONTROL"
	defaultTimeout  = 15 * time.Second
)

var errNoControl = errors.New("no control VM is named; give --control HOST:PORT[,HOST:PORT...] or set " + controlVariable)

// connection is how a command reaches the control VMs.
type connection struct {
	addresses []string
	timeout   time.Duration
	asJSON    bool
	files     identity.Files
}

func (n *connection) register(c *cobra.Command) {
	var named []string
	if value := os.Getenv(controlVariable); value != "" {
		named = strings.Split(value, ",")
	}
	c.Flags().StringSliceVar(&n.addresses, "control", named, "addresses of control VMs (default from "+controlVariable+")")
	c.Flags().DurationVar(&n.timeout, "timeout", defaultTimeout, "how long to try")
	c.Flags().StringVar(&n.files.Certificate, "certificate", "", "certificate file, where the system uses TLS")
	c.Flags().StringVar(&n.files.Key, "key", "", "key file of the certificate")
	c.Flags().StringVar(&n.files.Authority, "authority", "", "certificate file of the authority")
	c.Flags().BoolVar(&n.asJSON, "json", false, "print JSON")
}

// run calls f with a client and a context that ends after the timeout.
func (n *connection) run(c *cobra.Command, f func(ctx context.Context, client *control.Client) error) error {
	if len(n.addresses) == 0 {
		return errNoControl
	}
	ctx, cancel := context.WithTimeout(c.Context(), n.timeout)
	defer cancel()
	client := &control.Client{Addresses: n.addresses}
	if n.files.Certificate != "" {
		id := &identity.Identity{Files: n.files}
		if err := id.Check(); err != nil {
			return err
		}
		client.Dialer = &identity.Dialer{Identity: id}
	}
	err := f(ctx, client)
	if err != nil && ctx.Err() != nil {
		return statusError{err, exitNoReply}
	}
	return err
}
