// Package caller implements PostgreSQL's protocol for callers and forwards their units of work to
// the owners of their databases.
//
// A Server keeps only the state per caller that must outlive a transaction: prepared statements,
// the proxy's settings, and the session's floor. An idle caller costs one goroutine and its
// buffers.
package caller
