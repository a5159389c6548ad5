package sessions_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/entry/statement"
)

// TestUnreadableMessageNamesTheStatementBefore guards against a message cut in two whose rest is refused without a
// trace of the statement that its beginning became.
func TestUnreadableMessageNamesTheStatementBefore(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	m := startKeyedVM(t, &log)
	m.configure("acme", "secret-1")
	s, _ := m.open("d", "secret-1")
	is.Equal(do(s, statement.Set, "v").Outcome, statement.Done)
	is.Equal(s.RefuseMessage(12, "no message begins with rest").Outcome, statement.Unreadable)
	is.Equal(do(s, statement.Malformed, "private").Outcome, statement.Unreadable)
	is.Equal(m.metrics.UnreadableMessages.Value(), int64(2))
	is.True(strings.Contains(log.String(), "previous-request=1"))
	is.True(strings.Contains(log.String(), "message-bytes=12"))
	is.True(!strings.Contains(log.String(), "private"))
}
