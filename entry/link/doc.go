// Package link carries units of work between entry VMs over a few long-lived connections.
//
// Each unit has its own stream with its own flow control, so that a slow reader does not block
// others. Heartbeats detect a silent connection, which is then replaced.
package link
