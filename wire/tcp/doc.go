// Package tcp opens connections that notice when the other end has gone silent.
//
// A peer without power, or one from which something in between has lost track of a connection,
// answers nothing and resets nothing. Bytes that are not acknowledged, and probes on an idle
// connection, show it within Silence.
package tcp
