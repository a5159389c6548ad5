package sessions

import (
	"context"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/session"
	"trefoilcourse/coord/workspace"
	"trefoilcourse/entry/statement"
	"trefoilcourse/wire"
)

type definition = statement.Definition

// Session is one caller's session; it is used by one goroutine at a time.
type Session struct {
	sessions *Sessions
	id       string
	database string
	caller   workspace.Caller
	values   map[string]string
	prepared map[string]definition
	// stateBytes is the size of values and prepared.
	stateBytes int
	floor      session.Position
	state      statement.State
	// transaction is the open one; its owner is empty until its first statement.
	transaction transaction
	// lastRequest is the id of the last statement.
	lastRequest string
}

type transaction struct {
	id        string
	owner     string
	readOnly  bool
	hasWrites bool
}

// State returns the transaction state of the session.
func (s *Session) State() statement.State {
	if s.state == 0 {
		return statement.Idle
	}
	return s.state
}

// Do runs one statement and returns its outcome.
func (s *Session) Do(ctx context.Context, q statement.Statement) statement.Answer {
	began := clock.Now()
	a := s.checkKey(q.Kind)
	if a.Outcome == statement.Done {
		a = s.execute(ctx, q)
	}
	s.lastRequest = q.ID
	a.State = s.State()
	s.sessions.Metrics.Latency(a.Outcome.String()).Record(clock.Now().Sub(began))
	return a
}

func (s *Session) execute(ctx context.Context, q statement.Statement) statement.Answer {
	ends := q.Kind == statement.Commit || q.Kind == statement.Rollback
	switch {
	case q.Kind == statement.Malformed:
		return s.RefuseMessage(len(q.Text), "the statement cannot be read")
	case s.State() == statement.Failed && !ends:
		return refuse(statement.Unreadable, "the transaction has failed; end it first")
	case s.State() == statement.Failed:
		return s.endFailed(q.Kind)
	}
	switch q.Kind {
	case statement.Set, statement.Prepare:
		return s.keep(q)
	case statement.Deallocate:
		if _, ok := s.prepared[q.Name]; !ok {
			return refuse(statement.NoStatement, "no prepared statement is named "+q.Name)
		}
		s.drop(q.Name)
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(q.Kind == statement.BeginReadOnly)
	case statement.Rollback:
		return s.rollback()
	default:
		return s.run(ctx, q)
	}
	return statement.Answer{Outcome: statement.Done}
}

// RefuseMessage answers a message that is no statement, counts it and logs which statement came before it. The
// message itself is not logged, since it may hold a caller's data.
func (s *Session) RefuseMessage(bytes int, reason string) statement.Answer {
	s.sessions.Metrics.UnreadableMessages.Add(1)
	if suppressed, ok := s.sessions.unreadableLogs.Allow(clock.Now()); ok {
		s.sessions.Log.WithFields(map[string]any{
			"session": s.id, "database": s.database, "previous-request": s.lastRequest, "message-bytes": bytes,
			"state": string(rune(s.State())), "not-logged-before": suppressed,
		}).Info("message of a caller cannot be read")
	}
	a := refuse(statement.Unreadable, reason)
	a.State = s.State()
	return a
}

func refuse(o statement.Outcome, message string) statement.Answer {
	return statement.Answer{Outcome: o, Message: message}
}

// begin opens a transaction; its owner and server are chosen at its first statement.
func (s *Session) begin(readOnly bool) statement.Answer {
	if s.State() != statement.Idle {
		return refuse(statement.Unreadable, "a transaction is open already")
	}
	if _, _, _, ok := s.sessions.View.Database(s.database); !ok {
		return refuse(statement.NoDatabase, "no database is named "+s.database)
	}
	s.transaction = transaction{id: s.sessions.newID(), readOnly: readOnly}
	s.state = statement.InTransaction
	return statement.Answer{Outcome: statement.Done}
}

func (s *Session) rollback() statement.Answer {
	if s.State() != statement.InTransaction {
		return refuse(statement.Unreadable, "no transaction is open")
	}
	s.dropTransaction()
	s.state = statement.Idle
	return statement.Answer{Outcome: statement.Done}
}

// endFailed ends a failed transaction; it is rolled back even by a commit.
func (s *Session) endFailed(k statement.Kind) statement.Answer {
	s.dropTransaction()
	s.state = statement.Idle
	if k == statement.Commit {
		return refuse(statement.RolledBack, "the transaction had failed and is rolled back")
	}
	return statement.Answer{Outcome: statement.Done}
}

func (s *Session) dropTransaction() {
	if s.transaction.owner != "" {
		s.sessions.rollback(s.transaction.owner, s.transaction.id)
	}
	s.transaction = transaction{}
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	s.dropTransaction()
	s.state = statement.Idle
}

// run sends a statement to an owner of the database's group.
func (s *Session) run(ctx context.Context, q statement.Statement) statement.Answer {
	r := &wire.StatementRequest{
		Session: s.id, Database: s.database, Id: q.ID, Text: q.Text, Floor: s.floor.Wire(),
		Workspace: s.caller.Workspace,
	}
	switch q.Kind {
	case statement.Write:
		r.Kind = wire.StatementKind_STATEMENT_KIND_WRITE
	case statement.Commit:
		if s.State() != statement.InTransaction {
			return refuse(statement.Unreadable, "no transaction is open")
		}
		r.Kind = wire.StatementKind_STATEMENT_KIND_COMMIT
	case statement.Execute:
		d, ok := s.prepared[q.Name]
		if !ok {
			return s.failTransaction(refuse(statement.NoStatement, "no prepared statement is named "+q.Name))
		}
		r.Definition = d.Text
		if d.Writes {
			r.Kind = wire.StatementKind_STATEMENT_KIND_WRITE
		}
	}
	for name, value := range s.values {
		r.Settings = append(r.Settings, &wire.Setting{Name: name, Value: value})
	}
	if s.State() == statement.InTransaction {
		return s.runInTransaction(ctx, r)
	}
	return s.runOutsideTransaction(ctx, r)
}

// failTransaction marks an open transaction as failed.
func (s *Session) failTransaction(a statement.Answer) statement.Answer {
	if s.State() == statement.InTransaction {
		s.dropTransaction()
		s.state = statement.Failed
	}
	return a
}

func (s *Session) runOutsideTransaction(ctx context.Context, r *wire.StatementRequest) statement.Answer {
	began := clock.Now()
	a, owner := s.sessions.runOnAnyOwner(ctx, r)
	s.sessions.logIfLate(s, r, a, owner, clock.Now().Sub(began))
	return s.convertAnswer(r, a)
}

func (s *Session) runInTransaction(ctx context.Context, r *wire.StatementRequest) statement.Answer {
	r.Unit = s.transaction.id
	r.ReadsOnly = s.transaction.readOnly
	began := clock.Now()
	var a *wire.StatementAnswer
	if s.transaction.owner == "" {
		r.Begins = true
		a, s.transaction.owner = s.sessions.runOnAnyOwner(ctx, r)
		s.transaction.id = r.GetUnit()
	} else {
		a = s.sessions.runOnOwner(ctx, s.transaction.owner, r)
	}
	s.sessions.logIfLate(s, r, a, s.transaction.owner, clock.Now().Sub(began))
	s.transaction.hasWrites = s.transaction.hasWrites || r.GetKind() == wire.StatementKind_STATEMENT_KIND_WRITE
	commits := r.GetKind() == wire.StatementKind_STATEMENT_KIND_COMMIT
	if a.GetDisposition() == wire.Disposition_DISPOSITION_UNKNOWN && (!commits || !s.transaction.hasWrites) {
		// Only a commit can commit a transaction, and none was sent or there were no writes.
		a = &wire.StatementAnswer{Disposition: wire.Disposition_DISPOSITION_ROLLED_BACK, Reason: a.GetReason()}
	}
	answer := s.convertAnswer(r, a)
	continues := answer.Outcome == statement.Done || answer.Outcome == statement.ServerError
	switch {
	case continues && a.GetState() == "T":
	case commits:
		s.dropTransaction()
		s.state = statement.Idle
	default:
		s.dropTransaction()
		s.state = statement.Failed
	}
	return answer
}

// convertAnswer converts an owner's answer and raises the session's floor after a write.
func (s *Session) convertAnswer(r *wire.StatementRequest, a *wire.StatementAnswer) statement.Answer {
	answer := statement.Answer{
		Rows: a.GetRows(), Signature: a.GetSignature(), Code: a.GetCode(), Message: a.GetMessage(),
		RetryMilliseconds: a.GetRetryMilliseconds(), Position: session.FromWire(a.GetPosition()),
	}
	switch a.GetDisposition() {
	case wire.Disposition_DISPOSITION_ANSWERED:
		answer.Outcome = statement.Done
		if a.GetCode() != "" {
			answer.Outcome = statement.ServerError
		} else if r.GetKind() != wire.StatementKind_STATEMENT_KIND_READ && s.floor.Less(answer.Position) {
			s.floor = answer.Position
		}
		return answer
	case wire.Disposition_DISPOSITION_NOT_RUN, wire.Disposition_DISPOSITION_ELSEWHERE:
		answer.Outcome = statement.NotRun
		if a.GetCode() == noDatabase {
			answer.Outcome = statement.NoDatabase
		}
	case wire.Disposition_DISPOSITION_ROLLED_BACK:
		answer.Outcome = statement.RolledBack
	}
	answer.Message = a.GetReason()
	s.sessions.recordFailure(s, r, a)
	return answer
}
