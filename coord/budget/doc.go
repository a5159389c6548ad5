// Package budget decides how much memory and how many connections the clients of a process may use, and which
// client gives way when they want more.
//
// Clients are not under the system's control: what each of them holds is counted before it is allocated.
package budget
