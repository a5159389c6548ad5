package correlate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/internal/fixedseed"
	"trefoilcourse/coord/session"
)

func TestMain(m *testing.M) { fixedseed.Main(m, 2000) }

// observe returns the doubt about an answer that arrives for a question.
func observe(h *correlate.History, q correlate.Question, a correlate.Answer) correlate.Doubt {
	e := h.Ask(q)
	e.Receive(a)
	return e.Doubt()
}

func at(offset uint64) session.Position { return session.Position{Term: 1, Offset: offset} }

// TestCopiesAreDoubted guards against the copy of an earlier answer that raises no doubt.
func TestCopiesAreDoubted(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	statement, begin := correlate.Question{Signed: true}, correlate.Question{State: 'T'}
	first := correlate.Answer{Complete: true, State: 'I', Signature: "1", Position: at(5)}
	busy := correlate.Answer{Complete: true, State: 'I', Code: "BUSY", Position: at(5)}
	begun := correlate.Answer{Complete: true, State: 'T', Position: at(5)}
	is.Equal(observe(&h, statement, first), correlate.NoDoubt)
	is.Equal(observe(&h, statement, busy), correlate.NoDoubt)
	is.Equal(observe(&h, begin, begun), correlate.NoDoubt)
	is.Equal(observe(&h, statement, first), correlate.RepeatedSignature)
	is.Equal(observe(&h, statement, busy), correlate.RepeatedError)
	is.Equal(observe(&h, begin, begun), correlate.RepeatedAnswer)
	is.Equal(observe(&h, statement, begun), correlate.NoSignature)
	is.Equal(observe(&h, begin, correlate.Answer{Complete: true, State: 'I', Position: at(6)}), correlate.UnexpectedState)
	is.Equal(observe(&h, statement, correlate.Answer{State: 'I', Position: at(6)}), correlate.NoResult)
	is.Equal(observe(&h, statement, correlate.Answer{Complete: true, State: 'I', Signature: "2", Position: at(5)}), correlate.OlderPosition)
}

// TestGenuineAnswersAreNotDoubted guards against doubts about a server that answers once.
func TestGenuineAnswersAreNotDoubted(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	for n := range uint64(1000) {
		a := correlate.Answer{Complete: true, State: 'I', Signature: fmt.Sprint(n), Position: at(n / 7)}
		is.Equal(observe(&h, correlate.Question{Signed: true}, a), correlate.NoDoubt)
	}
}

// TestEveryCopyIsDoubted guards against a copy that raises no doubt at some distance from its original.
func TestEveryCopyIsDoubted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h correlate.History
		statement := correlate.Question{Signed: true}
		var sent []correlate.Answer
		offset := uint64(0)
		for n := range rapid.IntRange(1, 100).Draw(t, "statements") {
			a := correlate.Answer{Complete: true, State: 'I', Signature: fmt.Sprint(n), Position: at(offset)}
			switch rapid.IntRange(0, 4).Draw(t, "outcome") {
			case 0:
				a.Signature, a.Code = "", "BUSY"
			case 1:
				offset++
			}
			observe(&h, statement, a)
			sent = append(sent, a)
		}
		copied := rapid.SampledFrom(sent).Draw(t, "copied")
		if observe(&h, statement, copied) == correlate.NoDoubt {
			t.Fatalf("the copy of %+v raises no doubt", copied)
		}
	})
}
