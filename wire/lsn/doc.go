// Package lsn reads and writes log positions in PostgreSQL's text form, two hexadecimal halves
// with a slash between them.
package lsn
