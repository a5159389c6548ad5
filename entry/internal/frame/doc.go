// Package frame reads and writes the frames of PostgreSQL's protocol without decoding them, so
// that results pass through as bytes; pgproto3 decodes the few that matter.
package frame
