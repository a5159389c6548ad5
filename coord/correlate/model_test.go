package correlate_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/session"
)

// modelServer is a server whose transaction state, position and errors follow the protocol, with its client. Unlike
// stuttering it sends copies of any earlier answer, that of the connection as well.
type modelServer struct {
	t       *rapid.T
	history correlate.History
	pending []sent
	earlier []correlate.Answer
	state   byte
	// term and offset are the position, which goes back if the server is rolled back.
	term, offset uint64
	executed     int
	// maxCopies is how many copies may be sent from a question to the next one.
	maxCopies, copies int
	// commits, errors and rollsBack are how many of 20 statements commit, fail, and find the server rolled back.
	commits, errors, rollsBack int
	// codes are those of the errors of statements; nil is all of them. With codes given, no steps come before statements.
	codes []string

	asked, fences, lost int
	// opened counts connections.
	opened int
}

func (s *modelServer) connect() {
	s.opened++
	s.history, s.pending, s.state = correlate.History{FenceRefusals: []string{"MALFORMED"}}, nil, 'I'
	s.earlier = []correlate.Answer{{State: 'I', Position: s.position()}}
}

func (s *modelServer) position() session.Position {
	return session.Position{Term: s.term, Offset: s.offset}
}

func (s *modelServer) chance(label string, of20 int) bool {
	return of20 > 0 && rapid.IntRange(0, 19).Draw(s.t, label) < of20
}

// answer sends the genuine answer to a question.
func (s *modelServer) answer(a correlate.Answer) correlate.Answer {
	s.stutter()
	a.Complete, a.State, a.Position = true, s.state, s.position()
	s.pending = append(s.pending, sent{answer: a})
	s.earlier = append(s.earlier, a)
	s.stutter()
	return a
}

func (s *modelServer) stutter() {
	for s.copies < s.maxCopies && s.chance("copy", 5) {
		s.copies++
		s.pending = append(s.pending, sent{answer: rapid.SampledFrom(s.earlier).Draw(s.t, "copied")})
	}
}

// fence answers a fence.
func (s *modelServer) fence() {
	s.fences++
	code := ""
	if s.state == 'E' {
		code = "MALFORMED"
	}
	for range correlate.FenceQuestions {
		s.answer(correlate.Answer{Code: code})
	}
}

func (s *modelServer) possibleCodes() []string {
	if s.codes != nil {
		return s.codes
	}
	return []string{"BUSY", "FAILED", "LAGGING", "READONLY", "NOSTMT"}
}

// statement runs a read, a write or a commit.
func (s *modelServer) statement(commit bool) correlate.Answer {
	if s.rollsBack > 0 && s.offset > 3 && s.chance("rolled back", s.rollsBack) {
		s.offset -= 2
	}
	if s.state == 'E' {
		return s.answer(correlate.Answer{Code: "MALFORMED"})
	}
	if s.chance("error", s.errors) {
		code := rapid.SampledFrom(s.possibleCodes()).Draw(s.t, "code")
		if s.state == 'T' && (code == "FAILED" || code == "READONLY") {
			s.state = 'E'
		}
		return s.answer(correlate.Answer{Code: code})
	}
	s.executed++
	if s.chance("commits", s.commits) {
		s.offset++
	}
	if commit {
		s.state = 'I'
	}
	return s.answer(correlate.Answer{Signature: fmt.Sprint(s.executed), Rows: []string{fmt.Sprint("row ", s.executed)}})
}

// exchange reads answers until one is taken, and compares it with the genuine one. If that cannot be told it reports
// false, and the connection is lost.
func (s *modelServer) exchange(q correlate.Question, genuine correlate.Answer) (correlate.Answer, bool) {
	s.asked++
	e := s.history.Ask(q)
	var kept correlate.Answer
	for {
		if len(s.pending) == 0 {
			s.t.Fatalf("question %+v waits for an answer that never comes", q)
		}
		a := s.pending[0].answer
		s.pending = s.pending[1:]
		switch e.Receive(a) {
		case correlate.Accept:
			return a, s.check(q, a, genuine)
		case correlate.AcceptKept:
			return kept, s.check(q, kept, genuine)
		case correlate.Ambiguous:
			s.lost++
			s.connect()
			return a, false
		case correlate.Fence:
			kept = a
			s.fence()
		case correlate.Keep:
			kept = a
		}
	}
}

// check compares what the system uses of an answer.
func (s *modelServer) check(q correlate.Question, taken, genuine correlate.Answer) bool {
	same := taken.Signature == genuine.Signature && taken.Code == genuine.Code && taken.State == genuine.State
	if !same || fmt.Sprint(taken.Rows) != fmt.Sprint(genuine.Rows) {
		s.t.Fatalf("question %+v: taken %+v, the answer is %+v", q, taken, genuine)
	}
	return true
}

// unit runs one unit of work, as the pool of connections does: one with unread input is not used again.
func (s *modelServer) unit(kinds []string) {
	if len(s.pending) > 0 {
		s.connect()
	}
	s.copies = 0
	switch rapid.SampledFrom(kinds).Draw(s.t, "unit") {
	case "statement":
		s.run(false)
	case "transaction":
		s.transaction()
	case "status":
		row := fmt.Sprint("replica ", s.term, " ", s.offset)
		a := correlate.Answer{Rows: []string{row}}
		if s.chance("busy status", s.errors) {
			a = correlate.Answer{Code: "BUSY"}
		}
		s.exchange(correlate.Question{HasRows: true}, s.answer(a))
	}
}

// run runs a statement after steps that were sent with it.
func (s *modelServer) run(commit bool) (correlate.Answer, bool) {
	steps := 0
	s.copies = 0
	if s.state == 'I' && s.codes == nil {
		steps = max(0, rapid.IntRange(-4, 2).Draw(s.t, "steps"))
	}
	for range steps {
		s.answer(correlate.Answer{})
	}
	genuine := s.statement(commit)
	for range steps {
		// A copy that is taken for the answer to a step has no effect.
		step := correlate.Answer{State: s.state}
		if a, ok := s.exchangeUnchecked(correlate.Question{Followed: true}); !ok || a.Code != step.Code {
			s.t.Fatalf("a step has the answer %+v", a)
		}
	}
	return s.exchange(correlate.Question{Signed: true}, genuine)
}

// exchangeUnchecked is exchange for a question that needs no fence.
func (s *modelServer) exchangeUnchecked(q correlate.Question) (correlate.Answer, bool) {
	e := s.history.Ask(q)
	for len(s.pending) > 0 {
		a := s.pending[0].answer
		s.pending = s.pending[1:]
		switch e.Receive(a) {
		case correlate.Accept:
			return a, true
		case correlate.Skip:
		default:
			return a, false
		}
	}
	s.t.Fatalf("question %+v waits for an answer that never comes", q)
	return correlate.Answer{}, false
}

func (s *modelServer) transaction() {
	begin := correlate.Answer{Code: "LAGGING"}
	if !s.chance("begin fails", s.errors) {
		s.state, begin.Code = 'T', ""
	}
	a, ok := s.exchange(correlate.Question{State: 'T'}, s.answer(begin))
	if !ok || a.Code != "" {
		return
	}
	for range rapid.IntRange(1, 3).Draw(s.t, "statements") {
		if a, ok = s.run(false); !ok {
			return
		}
		if a.Code != "" {
			break
		}
	}
	if a.Code == "" && s.chance("commit", 14) {
		if a, ok = s.run(true); !ok || s.state == 'I' {
			return
		}
	}
	s.state, s.copies = 'I', 0
	s.answer(correlate.Answer{})
	if a, ok = s.exchangeUnchecked(correlate.Question{State: 'I', Followed: true}); !ok || a.State != 'I' {
		s.connect()
	}
}

var allUnits = []string{"statement", "transaction", "status"}

// runModel checks the model with at most so many copies in one exchange.
func runModel(t *testing.T, maxCopies int, kinds []string) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelServer{t: t, term: 1, offset: 1, maxCopies: maxCopies, commits: 6, errors: 4, rollsBack: rapid.IntRange(0, 1).Draw(t, "rolls back")}
		s.connect()
		for range rapid.IntRange(1, 30).Draw(t, "units") {
			s.unit(kinds)
		}
	})
}

// TestModelWithOneCopy guards against the answer of another question, and against a wait for one that never comes, with one
// copy in an exchange.
func TestModelWithOneCopy(t *testing.T) {
	for _, kind := range allUnits {
		t.Run(kind, func(t *testing.T) { runModel(t, 1, []string{kind}) })
	}
	t.Run("all", func(t *testing.T) { runModel(t, 1, allUnits) })
}

// TestModelWithManyCopies is TestModelWithOneCopy with up to four copies.
func TestModelWithManyCopies(t *testing.T) {
	for _, kind := range append(allUnits, "all") {
		if kind == "all" {
			t.Run(kind, func(t *testing.T) { runModel(t, 4, allUnits) })
			continue
		}
		t.Run(kind, func(t *testing.T) { runModel(t, 4, []string{kind}) })
	}
}
