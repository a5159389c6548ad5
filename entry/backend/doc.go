// Package backend implements the client side of PostgreSQL's protocol for owners of backend servers.
//
// A Conn serves one request or transaction at a time. It records which statements are prepared on
// it, the highest replay position that its server has reported, and whether it is set to read only.
package backend
