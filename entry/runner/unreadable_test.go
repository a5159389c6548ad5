package runner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/runner"
	"trefoilcourse/wire"
)

// unreadable is what a Conn returns for an answer that cannot be read.
func unreadable() (runner.Reply, error) {
	return runner.Reply{Result: runner.ExecutionFailed, Code: "FAILED", Message: "unreadable", State: 'I'}, fmt.Errorf("%w: garbage", runner.ErrUnreadable)
}

// executions counts the calls with a text.
func executions(o *testOwner, text string) int {
	count := 0
	for _, c := range o.servers.recordedCalls() {
		if c.text == text {
			count++
		}
	}
	return count
}

// TestUnreadableAnswerIsAnError guards against a read whose answer no server can send readably and that is run until its
// time has passed, by this owner and by the others.
func TestUnreadableAnswerIsAnError(t *testing.T) {
	for _, database := range []string{"exact", "aged", "own"} {
		t.Run(database, func(t *testing.T) {
			is := is.New(t)
			o := startOwner(t, func(string, string, session.Position) (runner.Reply, error) { return unreadable() })
			a := o.execute(readRequest(database))
			is.Equal(a.GetDisposition(), answered) // and not another owner's turn
			is.Equal(a.GetCode(), "FAILED")
			is.True(strings.Contains(o.runner.Metrics.DoubtfulAnswers.String(), `"unreadable": `))
			is.True(executions(o, "read") <= 4)
		})
	}
}

// TestUnreadableAnswerEndsTheTransaction guards against the first read of a transaction that is begun again until its time has
// passed, against a rollback on a connection that cannot be used, and against a promise about a commit.
func TestUnreadableAnswerEndsTheTransaction(t *testing.T) {
	is := is.New(t)
	o := startOwner(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == "read" || text == "commit" {
			return unreadable()
		}
		return successReply(60), nil
	})
	a := o.execute(transactionRequest("read", wire.StatementKind_STATEMENT_KIND_READ, true))
	is.Equal(a.GetDisposition(), answered)
	is.Equal(a.GetCode(), "FAILED")
	is.Equal(a.GetState(), "I")
	is.Equal(executions(o, "rollback"), 0)
	is.Equal(o.execute(transactionRequest("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), answered)
	is.Equal(o.execute(transactionRequest("read", wire.StatementKind_STATEMENT_KIND_READ, false)).GetDisposition(), rolledBack)
	is.Equal(executions(o, "rollback"), 0)
	is.Equal(o.execute(transactionRequest("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), answered)
	is.Equal(o.execute(transactionRequest("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), unknown)
}

// TestUnreadableAnswerIsAnAnswer guards against a primary that is replaced, and idle connections that are closed, because
// of an answer that cannot be read or be told from others.
func TestUnreadableAnswerIsAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		closed int
		silent bool
	}{
		{"unreadable", runner.ErrUnreadable, 1, false},
		{"ambiguous", runner.ErrAmbiguous, 1, false},
		{"lost", errLost, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := startOwner(t, func(_, text string, _ session.Position) (runner.Reply, error) {
				if text == "fails" {
					return runner.Reply{}, c.err
				}
				return successReply(60), nil
			})
			// The transaction keeps its connection, so that the other write opens a second one.
			is.Equal(o.execute(transactionRequest("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), answered)
			is.Equal(o.execute(writeRequest()).GetDisposition(), answered)
			is.Equal(o.execute(transactionRequest("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), answered)
			q := writeRequest()
			q.Text = "fails"
			is.Equal(o.execute(q).GetDisposition(), unknown)
			is.Equal(o.runner.PrimarySilent("g"), c.silent)
			is.Equal(len(o.closedConns()), c.closed)
		})
	}
}
