// Package outcome defines the errors returned to callers for requests that did not complete.
//
// Not run guarantees that the request was not sent to a server, or that its transaction cannot have
// committed. Unknown means that the request may have run.
package outcome
