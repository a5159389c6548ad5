// Package rig runs a whole deployment in one process on loopback: control VMs, entry VMs and
// stand-ins for backend servers, with delays and cuts between them.
package rig
