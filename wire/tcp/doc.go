// Package tcp opens connections that detect an unresponsive peer.
//
// A peer that has lost power, or a connection whose state a middlebox has lost, sends no reset.
// Unacknowledged data, or unanswered keepalive probes on an idle connection, cause an error within
// UserTimeout. What is sent to such a peer is lost as well, and TCP sends it again only after a second;
// a Dialer with RetryAfter does not wait for that.
package tcp
