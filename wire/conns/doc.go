// Package conns limits the connections that a listener has open.
package conns
