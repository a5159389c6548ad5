// Package control is the client of the control VMs: one periodic request renews the leases of this
// entry VM and confirms its configuration.
package control
