package statement

import "trefoilcourse/coord/session"

// Kind says what a statement does.
type Kind int

// The kinds of statements.
const (
	// Malformed statements cannot be parsed.
	Malformed Kind = iota
	Read
	Write
	Begin
	BeginReadOnly
	Commit
	Rollback
	// Set assigns a value to a named session setting.
	Set
	// Prepare stores a definition under a name, Execute runs it, Deallocate removes the name.
	Prepare
	Execute
	Deallocate
)

// Definition is the text of a prepared statement and its access mode.
type Definition struct {
	// Text is the statement as the caller sent it.
	Text string
	// Writes reports whether the statement may write.
	Writes bool
}

// Statement is one request of a caller.
type Statement struct {
	// ID and Text come from the caller and are forwarded unchanged.
	ID   string
	Text string
	Kind Kind
	// Name is the name of a session setting or of a prepared statement.
	Name string
	// Value is the value that Set assigns.
	Value string
	// Definition is set for Prepare only.
	Definition Definition
}

// State is the transaction state of a session after an answer.
type State byte

// The transaction states, as PostgreSQL's ReadyForQuery encodes them.
const (
	Idle          State = 'I'
	InTransaction State = 'T'
	Failed        State = 'E'
)

// Outcome says what is known about the execution of a statement.
type Outcome int

// The outcomes.
const (
	// Unknown statements may have run.
	Unknown Outcome = iota
	// Done statements succeeded, on a server or in the session itself.
	Done
	// ServerError is an error of a server, forwarded unchanged.
	ServerError
	// NotRun guarantees that the caller's attempt left no effect.
	NotRun
	// RolledBack guarantees that the transaction has no effect.
	RolledBack
	// NoDatabase means that the named database does not exist.
	NoDatabase
	// NoStatement means that the named prepared statement does not exist.
	NoStatement
	// Unreadable means that the statement is malformed or not allowed in the session's transaction state.
	Unreadable
	// NoAuth means that the caller's key does not give access; the session ends.
	NoAuth
)

// String returns the outcome's name in kebab case.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "server-error", "not-run", "rolled-back", "no-database", "no-statement", "unreadable", "no-auth"}[o]
}

// Answer is the answer to a caller's statement.
type Answer struct {
	Outcome Outcome
	Rows    []string
	// Signature is the server's signature over what it ran; empty if the session itself answered.
	Signature string
	// Code and Message describe a server's error or the proxy's reason.
	Code    string
	Message string
	// RetryMilliseconds is the delay after which to retry a NotRun statement; 0 means unspecified.
	RetryMilliseconds uint32
	State             State
	// Position is the server's log position; zero if no server answered.
	Position session.Position
}
