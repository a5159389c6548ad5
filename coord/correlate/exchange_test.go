package correlate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/session"
)

// stuttering is a server that answers each question once, and sends copies of earlier answers at any time.
type stuttering struct {
	t *rapid.T
	// pending holds the answers that have not been read, with whether each is a copy.
	pending []sent
	// earlier holds all answers that were sent.
	earlier  []correlate.Answer
	executed int
	state    byte
	position uint64
	// maxCopies is how many copies may arrive during one exchange.
	maxCopies, copies int
}

type sent struct {
	answer correlate.Answer
	// question numbers the questions; 0 is a copy.
	question int
}

func (s *stuttering) send(a correlate.Answer, question int) {
	s.stutter()
	a.Complete, a.State, a.Position = true, s.state, session.Position{Term: 1, Offset: s.position}
	s.pending = append(s.pending, sent{a, question})
	s.earlier = append(s.earlier, a)
	s.stutter()
}

// stutter may send copies.
func (s *stuttering) stutter() {
	for len(s.earlier) > 0 && s.copies < s.maxCopies && rapid.IntRange(0, 3).Draw(s.t, "copy") == 0 {
		s.copies++
		first := max(0, len(s.earlier)-12)
		s.pending = append(s.pending, sent{s.earlier[rapid.IntRange(first, len(s.earlier)-1).Draw(s.t, "copied")], 0})
	}
}

// read returns the next answer.
func (s *stuttering) read() sent {
	if len(s.pending) == 0 {
		s.t.Fatal("an exchange reads more answers than there are")
	}
	next := s.pending[0]
	s.pending = s.pending[1:]
	return next
}

func (s *stuttering) answerStatement(question int) {
	s.executed++
	switch rapid.IntRange(0, 5).Draw(s.t, "outcome") {
	case 0:
		s.send(correlate.Answer{Code: rapid.SampledFrom([]string{"BUSY", "FAILED"}).Draw(s.t, "code")}, question)
		return
	case 1:
		s.position++
	}
	s.send(correlate.Answer{Signature: fmt.Sprint(s.executed), Rows: []string{"row"}}, question)
}

// exchange reads answers until the exchange ends, and returns the one that was taken; ok is false if that cannot
// be told.
func (s *stuttering) exchange(h *correlate.History, q correlate.Question) (taken sent, ok bool) {
	e := h.Ask(q)
	var kept sent
	for {
		next := s.read()
		switch e.Receive(next.answer) {
		case correlate.Accept:
			return next, true
		case correlate.AcceptKept:
			return kept, true
		case correlate.Ambiguous:
			return sent{}, false
		case correlate.Fence:
			kept = next
			for range correlate.FenceQuestions {
				s.send(correlate.Answer{}, -1)
			}
		case correlate.Keep:
			kept = next
		}
	}
}

// TestStatementGetsItsOwnAnswer guards against an answer of an earlier statement that is taken for that of a later
// one, whatever copies arrive, and against an exchange that waits for answers after the last one. The connection is
// never checked for unread answers, as between the statements of a transaction.
func TestStatementGetsItsOwnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stuttering{t: t, state: 'I', maxCopies: 3}
		var h correlate.History
		for number := 1; number <= rapid.IntRange(1, 30).Draw(t, "statements"); number++ {
			s.copies = 0
			steps := rapid.IntRange(0, 2).Draw(t, "steps")
			for range steps {
				s.send(correlate.Answer{}, -1)
			}
			s.answerStatement(number)
			for range steps {
				s.exchange(&h, correlate.Question{Followed: true})
			}
			taken, ok := s.exchange(&h, correlate.Question{Signed: true})
			if ok && taken.question != number {
				t.Fatalf("statement %d is given the answer of %d (0: a copy)", number, taken.question)
			}
			if !ok {
				// The connection is closed.
				s.pending, s.earlier, h = nil, nil, correlate.History{}
			}
		}
	})
}

// TestTransactionBeginsOnce guards against a copy of an earlier begin that is taken for the answer to one that failed,
// after which statements would run outside of a transaction.
func TestTransactionBeginsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stuttering{t: t, state: 'I', maxCopies: 1}
		var h correlate.History
		for number := 1; number <= 20; number++ {
			s.copies = 0
			begun := rapid.IntRange(0, 2).Draw(t, "begun") > 0
			code := "LAGGING"
			if begun {
				s.state, code = 'T', ""
			}
			s.send(correlate.Answer{Code: code}, number)
			taken, ok := s.exchange(&h, correlate.Question{State: 'T'})
			if ok && (taken.answer.Code == "") != begun {
				t.Fatalf("begun %v, taken for %+v", begun, taken.answer)
			}
			if begun && ok {
				s.answerStatement(number)
				if taken, ok = s.exchange(&h, correlate.Question{Signed: true}); ok && taken.question != number {
					t.Fatalf("statement %d is given the answer of %d (0: a copy)", number, taken.question)
				}
			}
			if begun && ok {
				s.state = 'I'
				s.send(correlate.Answer{}, number)
				s.exchange(&h, correlate.Question{State: 'I', Followed: true})
			}
			s.state = 'I'
			if !ok || len(s.pending) > 0 {
				// The connection is closed, as it has unread input or is lost.
				s.pending, s.earlier, h = nil, nil, correlate.History{}
			}
		}
	})
}

// TestGenuineAnswersNeedNoFence guards against a round trip for statements of a server that answers once.
func TestGenuineAnswersNeedNoFence(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	for n := range 1000 {
		a := correlate.Answer{Complete: true, State: 'I', Signature: fmt.Sprint(n), Position: session.Position{Term: 1, Offset: uint64(n / 7)}}
		is.Equal(h.Ask(correlate.Question{Signed: true}).Receive(a), correlate.Accept)
	}
}

// TestRepeatedErrorIsConfirmed guards against a server that is busy twice and counts as lost.
func TestRepeatedErrorIsConfirmed(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	busy := correlate.Answer{Complete: true, State: 'I', Code: "BUSY"}
	is.Equal(h.Ask(correlate.Question{Signed: true}).Receive(busy), correlate.Accept)
	e := h.Ask(correlate.Question{Signed: true})
	is.Equal(e.Receive(busy), correlate.Fence)
	is.Equal(e.Doubt(), correlate.RepeatedError)
	is.Equal(endFence(e), correlate.AcceptKept)
}

// endFence lets the answers of a fence arrive and returns the last step.
func endFence(e *correlate.Exchange) (step correlate.Step) {
	for range correlate.FenceQuestions {
		step = e.Receive(correlate.Answer{Complete: true, State: 'I'})
	}
	return step
}

// TestStatusIsTheLatest guards against the copy of an earlier status that is taken for the present one.
func TestStatusIsTheLatest(t *testing.T) {
	is := is.New(t)
	status := func(row string) correlate.Answer {
		return correlate.Answer{Complete: true, State: 'I', Rows: []string{row}}
	}
	var h correlate.History
	q := correlate.Question{HasRows: true}
	is.Equal(h.Ask(q).Receive(status("replica 3 3.1")), correlate.Accept)
	is.Equal(h.Ask(q).Receive(status("replica 3 3.2")), correlate.Accept)
	e := h.Ask(q)
	is.Equal(e.Receive(status("replica 3 3.2")), correlate.Fence)
	is.Equal(e.Receive(status("primary 4 4.3")), correlate.Keep)
	is.Equal(endFence(e), correlate.AcceptKept)
}
