// Package frame reads and writes messages of the PostgreSQL protocol without decoding their
// bodies, so results are forwarded as bytes. The few that need decoding go through pgproto3.
package frame
