package main

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"trefoilcourse/wire/identity"
)

func newCertify() *cobra.Command {
	return &cobra.Command{
		Use:   "certify FOLDER NAME ADDRESS...",
		Short: "Issue a certificate to a VM, an operator or a backend server",
		Long: `Makes an authority in the folder, ca.pem and ca.key, if there is none, and writes NAME.pem
and NAME.key for the IP addresses given. Keep ca.key off the VMs; each VM needs its own two files
and ca.pem. Files that are replaced are read again by the daemons within a second.`,
		Example: "  trefoil certify certificates entry-01 10.0.1.1",
		Args:    cobra.MinimumNArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			var addresses []net.IP
			for _, text := range args[2:] {
				ip := net.ParseIP(text)
				if ip == nil {
					return fmt.Errorf("%q is not an IP address", text)
				}
				addresses = append(addresses, ip)
			}
			authority, err := identity.OpenAuthority(args[0])
			if err != nil {
				return failed(err)
			}
			files, err := authority.Issue(args[1], addresses...)
			if err != nil {
				return failed(err)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "\"tls\": {\"certificate\": %q, \"key\": %q, \"authority\": %q}\n", files.Certificate, files.Key, files.Authority)
			return err
		},
	}
}
