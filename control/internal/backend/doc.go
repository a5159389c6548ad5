// Package backend asks backend servers for their status and orders them to lead or to follow.
//
// Positions and roles are read as PostgreSQL publishes them. The orders are the functions
// trefoil_promote and trefoil_follow, which the platform's groups provide together with the
// settings trefoil.term, the term that a server leads or follows, trefoil.log_term, the term of
// its last record, and trefoil.incarnation, the life of its data.
package backend
