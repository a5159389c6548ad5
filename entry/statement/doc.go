// Package statement defines the requests of callers and their answers, independent of the protocol.
//
// A protocol front end decodes a caller's request into a Statement, passes it to a session of
// package sessions, and encodes the Answer.
package statement
