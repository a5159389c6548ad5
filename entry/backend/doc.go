// Package backend speaks PostgreSQL's protocol to backend servers on behalf of owners.
//
// A Conn is used by one unit of work at a time and knows which statements are prepared on it,
// the highest replay position that its server has reported on it, and whether it is set to read only.
package backend
