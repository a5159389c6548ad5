// Package outcome fixes what callers are told when a request is not simply done.
//
// Not run is a proof: the request was not sent to a server, or its transaction cannot have been
// committed. Unknown means that it may have run.
package outcome
