// Package backend queries the status of backend servers and orders them to lead or to follow.
//
// Positions and roles are read from PostgreSQL's own functions and views. The orders are the functions
// trefoil_promote and trefoil_follow, which the platform's groups provide together with the
// settings trefoil.term, the term that a server leads or follows, trefoil.log_term, the term of
// its last record, and trefoil.incarnation, the incarnation of its data.
package backend
