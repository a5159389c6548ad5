package runner

import (
	"context"
	"errors"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/setup"
)

// ErrNotSent means that a connection failed before anything of a request could have been read.
var ErrNotSent = errors.New("nothing was sent")

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
	// State is the connection's: I, T or E.
	State byte
	// Position is that of the server's log.
	Position session.Position
}

// Target names the server that a connection is meant for.
type Target struct {
	Group   string
	Slot    string
	Address string
}

// Conn is a connection to a backend server, used by one goroutine at a time. An error of any
// method means that the connection is of no use any more.
type Conn interface {
	// Begin starts a transaction, for reading only if so asked, on a log that has the floor.
	Begin(deadline time.Time, readOnly bool, floor session.Position) (Reply, error)
	// Run makes the steps and runs a statement; a floor other than zero goes with it.
	Run(deadline time.Time, steps setup.Steps, q Query) (Reply, error)
	// Rollback ends the transaction.
	Rollback(deadline time.Time) error
	// Ping asks the server for its position.
	Ping(deadline time.Time) (Reply, error)
	// Interrupt ends the request under way with an error; any goroutine may call it.
	Interrupt()
	// Alive reports whether the server has not ended the idle connection, as far as is known.
	Alive() bool
	Close()
}

// Query is one statement as it goes to a server.
type Query struct {
	ID   string
	Text string
	// Definition is that of the prepared statement that it runs; empty if it runs none.
	Definition string
	// Floor is the position that the server's log must have; zero for any.
	Floor session.Position
}

// Servers opens connections to backend servers.
type Servers interface {
	// Connect opens a connection, and fails if another server is at the address.
	Connect(ctx context.Context, t Target) (Conn, error)
}
