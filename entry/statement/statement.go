package statement

import "trefoilcourse/coord/session"

// Kind says what a statement does.
type Kind int

// The kinds of statements.
const (
	// Malformed statements cannot be read.
	Malformed Kind = iota
	Read
	Write
	Begin
	BeginReadOnly
	Commit
	Rollback
	// Set gives a value of the session a name.
	Set
	// Prepare names a definition, Execute runs it, Deallocate forgets the name.
	Prepare
	Execute
	Deallocate
)

// Definition is what a prepared statement stands for.
type Definition struct {
	// Text is as the caller gave it.
	Text string
	// Writes says that running it may write.
	Writes bool
}

// Statement is one request of a caller.
type Statement struct {
	// ID and Text are the caller's, passed on unchanged.
	ID   string
	Text string
	Kind Kind
	// Name is that of a value or of a prepared statement.
	Name string
	// Value is what Set gives the name.
	Value string
	// Definition is that of Prepare.
	Definition Definition
}

// State is what a session is in after an answer.
type State byte

// The states of a session.
const (
	Idle          State = 'I'
	InTransaction State = 'T'
	Failed        State = 'E'
)

// Outcome says what is known of a statement.
type Outcome int

// The outcomes.
const (
	// Unknown statements may have run.
	Unknown Outcome = iota
	// Done statements were answered with success, by a server or by the session itself.
	Done
	// ServerError is an error of a server, passed on as it came.
	ServerError
	// NotRun promises that nothing of the caller's attempt is kept.
	NotRun
	// RolledBack promises the same of a transaction.
	RolledBack
	// NoDatabase means that no database has the name.
	NoDatabase
	// NoStatement means that no prepared statement has the name.
	NoStatement
	// Unreadable means that the statement is malformed, or out of place in a failed transaction.
	Unreadable
)

// String returns the outcome's name in kebab case.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "server-error", "not-run", "rolled-back", "no-database", "no-statement", "unreadable"}[o]
}

// Answer is what a caller is told.
type Answer struct {
	Outcome Outcome
	Rows    []string
	// Signature is the server's proof of what it ran; empty for answers of the session itself.
	Signature string
	// Code and Message are a server's error, or words for the caller.
	Code    string
	Message string
	// RetryMilliseconds is when to come back after NotRun; 0 says nothing.
	RetryMilliseconds uint32
	State             State
	// Position is the server's, zero if no server answered.
	Position session.Position
}
