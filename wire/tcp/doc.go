// Package tcp opens connections that detect an unresponsive peer.
//
// A peer that has lost power, or a connection whose state a middlebox has lost, sends no reset.
// Unacknowledged data, or unanswered keepalive probes on an idle connection, cause an error within
// UserTimeout.
package tcp
