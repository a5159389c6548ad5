// Package control speaks to the control VMs for operators.
package control
