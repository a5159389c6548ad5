// Package caller speaks PostgreSQL's protocol to callers and forwards their units of work to
// the owners of their databases.
//
// A Server keeps per caller only what must outlive a transaction: named statements, settings of
// the proxy, and the floor of the session. A caller that does nothing costs one goroutine and
// its buffers.
package caller
