// Package control speaks to the control VMs: it renews this entry VM's leases and confirms its
// configuration with one periodic message.
package control
