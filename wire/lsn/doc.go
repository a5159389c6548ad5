// Package lsn parses and formats log sequence numbers in PostgreSQL's text form: two hexadecimal
// halves separated by a slash.
package lsn
