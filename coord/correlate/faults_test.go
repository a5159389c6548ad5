package correlate_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/correlate"
	"trefoilcourse/coord/session"
)

func whole(state byte, offset uint64) correlate.Answer {
	return correlate.Answer{Complete: true, State: state, Position: session.Position{Term: 1, Offset: offset}}
}

func refusedWith(code string, state byte, offset uint64) correlate.Answer {
	a := whole(state, offset)
	a.Code = code
	return a
}

// TestBusyAgainAndAgainIsNotLost guards against a server whose log does not move, and that is busy three times, which counts as
// lost: the second fence has the answer that the first had.
func TestBusyAgainAndAgainIsNotLost(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	busy := refusedWith("BUSY", 'I', 5)
	is.Equal(h.Ask(correlate.Question{Signed: true}).Receive(busy), correlate.Accept)
	for range 10 {
		e := h.Ask(correlate.Question{Signed: true})
		is.Equal(e.Receive(busy), correlate.Fence)
		is.Equal(endFence(e), correlate.AcceptKept)
	}
}

// TestLaggingAgainAndAgainIsNotLost is TestBusyAgainAndAgainIsNotLost for begins at a replica that lags.
func TestLaggingAgainAndAgainIsNotLost(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	lagging := refusedWith("LAGGING", 'I', 5)
	is.Equal(h.Ask(correlate.Question{State: 'T'}).Receive(lagging), correlate.Accept)
	for range 10 {
		e := h.Ask(correlate.Question{State: 'T'})
		is.Equal(e.Receive(lagging), correlate.Fence)
		is.Equal(endFence(e), correlate.AcceptKept)
	}
}

// TestCopyOfAStatusIsNotABusyServersAnswer guards against the copy of an earlier status, after a genuine BUSY that an earlier
// query got as well, that is taken for the present status.
func TestCopyOfAStatusIsNotABusyServersAnswer(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	q := correlate.Question{HasRows: true}
	status, busy := whole('I', 5), refusedWith("BUSY", 'I', 9)
	status.Rows = []string{"replica 1 1.5"}
	is.Equal(h.Ask(q).Receive(status), correlate.Accept)
	is.Equal(h.Ask(q).Receive(busy), correlate.Accept)
	e := h.Ask(q)
	is.Equal(e.Receive(busy), correlate.Fence)
	if step := e.Receive(status); step == correlate.Keep {
		is.True(endFence(e) != correlate.AcceptKept) // the earlier status is taken
	}
}

// TestCopyAfterARepeatedStatusIsNotTaken guards against the copy of an earlier status that arrives between a genuine one, which
// is the same as the one before, and the fence's answer, and is taken in its place.
func TestCopyAfterARepeatedStatusIsNotTaken(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	q := correlate.Question{HasRows: true}
	earlier, present := whole('I', 5), whole('I', 9)
	earlier.Rows, present.Rows = []string{"replica 1 1.5"}, []string{"replica 1 1.9"}
	is.Equal(h.Ask(q).Receive(earlier), correlate.Accept)
	is.Equal(h.Ask(q).Receive(present), correlate.Accept)
	e := h.Ask(q)
	is.Equal(e.Receive(present), correlate.Fence)
	if e.Receive(earlier) == correlate.Keep {
		is.True(endFence(e) != correlate.AcceptKept) // the earlier status is taken
	}
}

// TestLatestOfThreeStatusesIsTaken guards against the second of two copies that is taken in place of the status that follows.
func TestLatestOfThreeStatusesIsTaken(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	q := correlate.Question{HasRows: true}
	var statuses []correlate.Answer
	for offset, row := range []string{"replica 1 1.0", "replica 1 1.1", "replica 1 1.2"} {
		a := whole('I', uint64(offset))
		a.Rows = []string{row}
		statuses = append(statuses, a)
	}
	is.Equal(h.Ask(q).Receive(statuses[0]), correlate.Accept)
	is.Equal(h.Ask(q).Receive(statuses[1]), correlate.Accept)
	e := h.Ask(q)
	is.Equal(e.Receive(statuses[0]), correlate.Fence)
	is.Equal(e.Receive(statuses[1]), correlate.Ambiguous) // rather than dropping the third one
}

// TestFailedStatementIsNoFence guards against the genuine answer of a statement that fails its transaction and is taken for the
// fence's, so that the copy before it counts as genuine. The copy's state I then returns a connection to the pool whose
// transaction is open.
func TestFailedStatementIsNoFence(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	lagging := refusedWith("LAGGING", 'I', 5)
	is.Equal(h.Ask(correlate.Question{State: 'T'}).Receive(lagging), correlate.Accept)
	is.Equal(h.Ask(correlate.Question{State: 'T'}).Receive(whole('T', 5)), correlate.Accept)
	e := h.Ask(correlate.Question{Signed: true})
	is.Equal(e.Receive(lagging), correlate.Fence)
	is.Equal(e.Receive(refusedWith("FAILED", 'E', 5)), correlate.Keep)
}

// TestStepRefusedAgainIsNotSkipped guards against a setup step that is refused with a code that the connection has had: its
// answer is skipped, the statement's is taken for it, and the statement waits for another one until its time has passed.
func TestStepRefusedAgainIsNotSkipped(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	malformed := refusedWith("MALFORMED", 'I', 5)
	is.Equal(h.Ask(correlate.Question{Signed: true}).Receive(malformed), correlate.Accept)
	e := h.Ask(correlate.Question{Followed: true})
	if e.Receive(malformed) == correlate.Skip {
		answer := whole('I', 5)
		answer.Signature = "1"
		is.True(e.Receive(answer) != correlate.Accept) // the statement's, which has a signature
	}
}

// TestEqualAnswersTakeOnePlace guards against a copy of a begin that raises no doubt, because the connection has had 64 answers
// since, all of them the same.
func TestEqualAnswersTakeOnePlace(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	begin := correlate.Question{State: 'T'}
	is.Equal(h.Ask(begin).Receive(whole('T', 5)), correlate.Accept)
	for range 64 {
		h.Ask(correlate.Question{State: 'I', Followed: true}).Receive(whole('I', 5))
	}
	is.Equal(h.Ask(begin).Receive(whole('T', 5)), correlate.Fence)
}

// TestErrorCodesAreBounded guards against a connection that remembers every code, and the text of each error with it, since a
// code is a part of that text.
func TestErrorCodesAreBounded(t *testing.T) {
	is := is.New(t)
	var h correlate.History
	before := heapBytes()
	for n := range 50 {
		line := fmt.Sprintf("CODE%d %s", n, strings.Repeat("x", 1<<19))
		code, _, _ := strings.Cut(line, " ")
		h.Ask(correlate.Question{Signed: true}).Receive(refusedWith(code, 'I', 5))
	}
	is.True(heapBytes()-before < 1<<20) // of 25 MiB that arrived
	runtime.KeepAlive(&h)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
