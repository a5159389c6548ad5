package runner_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/session"
	"trefoilcourse/entry/runner"
)

// TestDoubtfulAnswerIsCounted guards against answers of earlier statements that leave no trace.
func TestDoubtfulAnswerIsCounted(t *testing.T) {
	is := is.New(t)
	o := startOwner(t, func(string, string, session.Position) (runner.Reply, error) {
		reply := successReply(60)
		reply.Doubt = correlate.RepeatedSignature
		return reply, nil
	})
	is.Equal(o.execute(writeRequest()).GetDisposition(), answered)
	is.Equal(o.runner.Metrics.DoubtfulAnswers.String(), `{"repeated-signature": 1}`)
}
