package correlate_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestServerThatAnswersOnceLosesNoConnection guards against genuine answers that cannot be told from copies: each such
// connection costs a handshake, at servers that are overloaded or lag.
func TestServerThatAnswersOnceLosesNoConnection(t *testing.T) {
	for _, c := range []struct {
		name            string
		commits, errors int
		kinds           []string
		// codes are those of the errors; nil is all of them.
		codes []string
	}{
		{"statements, none fail", 6, 0, []string{"statement"}, nil},
		{"statements, a half busy, nothing committed", 0, 10, []string{"statement"}, []string{"BUSY"}},
		{"statements, a half busy", 6, 10, []string{"statement"}, []string{"BUSY"}},
		{"transactions, nothing committed", 0, 0, []string{"transaction"}, nil},
		{"transactions, a fifth busy", 6, 4, []string{"transaction"}, []string{"BUSY"}},
		{"transactions, a fifth fail", 6, 4, []string{"transaction"}, nil},
		{"status, nothing committed", 0, 0, []string{"status"}, nil},
		{"all, a fifth fail", 6, 4, allUnits, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked, fences, lost := 0, 0, 0
			rapid.Check(t, func(t *rapid.T) {
				s := &modelServer{t: t, term: 1, offset: 1, commits: c.commits, errors: c.errors, codes: c.codes}
				s.connect()
				for range 50 {
					s.unit(c.kinds)
				}
				asked, fences, lost = asked+s.asked, fences+s.fences, lost+s.lost
			})
			t.Logf("%d questions, %.3f fences and %.3f lost connections for each", asked, float64(fences)/float64(asked), float64(lost)/float64(asked))
			if lost > 0 {
				t.Errorf("%d connections are lost", lost)
			}
		})
	}
}
