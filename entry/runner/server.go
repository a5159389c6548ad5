package runner

import (
	"context"
	"errors"
	"time"

	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
)

// ErrNotSent means that a connection failed before the server could have read any part of a
// request.
var ErrNotSent = errors.New("nothing was sent")

// ErrUnreadable means that the server has answered and that its answer cannot be read, as may be that of any server
// to the same statement. The reply holds the error that a caller is given for it.
var ErrUnreadable = errors.New("the server's answer cannot be read")

// ErrAmbiguous means that the server has answered and that it cannot be told which of its answers is the one. On another
// connection it can.
var ErrAmbiguous = errors.New("the server's answers cannot be told apart")

// hasAnswered reports whether a server has answered, so that the error is none of the server or of the way to it.
func hasAnswered(err error) bool {
	return err == nil || errors.Is(err, ErrUnreadable) || errors.Is(err, ErrAmbiguous)
}

// Result classifies a server's reply by what happened to the statement.
type Result int

// The results of a request to a server.
const (
	// Succeeded means that the statement ran without an error.
	Succeeded Result = iota
	// Busy, Lagging, ReadOnly and NotPrepared mean that it did not run.
	Busy
	Lagging
	ReadOnly
	NotPrepared
	// ExecutionFailed means that it ran and returned an error.
	ExecutionFailed
)

// Reply is a server's answer.
type Reply struct {
	Result    Result
	Rows      []string
	Signature string
	Code      string
	Message   string
	// State is the connection's transaction state: I, T or E.
	State byte
	// Position is the position of the server's log.
	Position session.Position
	// Doubt is why an answer that arrived for the statement could belong to an earlier one; empty if none could.
	Doubt correlate.Doubt
	// Skipped is how many answers were dropped because they belong to earlier statements.
	Skipped int
}

// Target identifies the server to connect to.
type Target struct {
	Group   string
	Slot    string
	Address string
	// Workspace is the workspace on whose behalf the connection is opened; empty for the system itself
	// and for callers without one.
	Workspace string
}

// Conn is a connection to a backend server, used by one goroutine at a time. After an error from
// any method the connection can no longer be used.
type Conn interface {
	// Begin starts a transaction, read-only if requested, on a server whose log has reached the
	// floor.
	Begin(deadline time.Time, readOnly bool, floor session.Position) (Reply, error)
	// Run carries out the setup steps and runs a statement; a non-zero floor is sent with it.
	Run(deadline time.Time, steps setup.Steps, q Query) (Reply, error)
	// Rollback ends the transaction.
	Rollback(deadline time.Time) error
	// Ping asks the server for its log position.
	Ping(deadline time.Time) (Reply, error)
	// Interrupt aborts the current request with an error; any goroutine may call it.
	Interrupt()
	// Alive reports whether the idle connection is still open, as far as is known locally.
	Alive() bool
	Close()
}

// waitingCloser is a Conn that can close so that the server no longer counts the connection.
type waitingCloser interface {
	// CloseAndWait closes the connection and waits a short while until the server has closed it too.
	CloseAndWait()
}

// Query is one statement as it is sent to a server.
type Query struct {
	ID   string
	Text string
	// Definition is the text of the prepared statement to execute; empty if there is none.
	Definition string
	// Floor is the position that the server's log must have reached; zero for any.
	Floor session.Position
	// Holding counts the answer for its caller; nil counts nothing.
	Holding *budget.Holding
}

// Connector opens connections to backend servers.
type Connector interface {
	// Connect opens a connection, and fails if another server is at the address.
	Connect(ctx context.Context, t Target) (Conn, error)
}
