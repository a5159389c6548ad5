// Package link carries units of work between entry VMs over a few long-lived connections.
//
// Each unit has a stream of its own with its own flow control, so that a slow reader holds
// nobody else back. A connection that goes silent is found by heartbeats and replaced.
package link
