// Package view holds an entry VM's copy of the configuration, the directory and its leases, and
// decides how long each may be used.
package view
