// Package statement holds what callers ask and servers answer, whatever protocol they speak.
//
// An edge that speaks a protocol decodes a caller's request into a Statement, gives it to a
// session of package sessions, and encodes the Answer.
package statement
