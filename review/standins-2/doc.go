// Command standins-2 runs the cases of the second part of the review: each starts the project's own programs as separate
// processes on loopback addresses, beside stand-ins for databases, the platform, operators and consumers.
//
//	standins-2 CASE FOLDER
//
// CASE is the name of a case, FOLDER is where record.txt is written. The status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main
