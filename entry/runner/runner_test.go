package runner_test

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/runner"
	"trefoilcourse/wire"
)

var errLost = errors.New("the connection is lost")

const (
	answered   = wire.Disposition_DISPOSITION_ANSWERED
	unknown    = wire.Disposition_DISPOSITION_UNKNOWN
	elsewhere  = wire.Disposition_DISPOSITION_ELSEWHERE
	rolledBack = wire.Disposition_DISPOSITION_ROLLED_BACK
)

func TestWriteIsNotAcknowledgedAfterTheLease(t *testing.T) {
	is := is.New(t)
	var o *owner
	o = own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == "write" {
			o.endLease()
		}
		return good(60), nil
	})
	is.Equal(o.execute(write()).GetDisposition(), unknown)
}

func TestPrimaryReadIsNotGivenOutAfterTheLease(t *testing.T) {
	is := is.New(t)
	var o *owner
	o = own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == "read" {
			o.endLease()
		}
		return good(60), nil
	})
	is.Equal(o.execute(read("exact")).GetDisposition(), elsewhere)
}

func TestLostWrite(t *testing.T) {
	is := is.New(t)
	var sent atomic.Bool
	o := own(t, func(string, string, session.Position) (runner.Reply, error) {
		if sent.Load() {
			return runner.Reply{}, errLost
		}
		return runner.Reply{}, runner.ErrNotSent
	})
	is.Equal(o.execute(write()).GetDisposition(), elsewhere)
	sent.Store(true)
	is.Equal(o.execute(write()).GetDisposition(), unknown)
	is.Equal(len(o.servers.asked()), 2) // never sent again
}

func unit(text string, kind wire.StatementKind, begins bool) *wire.StatementRequest {
	return &wire.StatementRequest{Database: "exact", Unit: "u", Id: "1", Text: text, Kind: kind, Begins: begins}
}

func TestLostTransaction(t *testing.T) {
	is := is.New(t)
	var lose atomic.Value
	lose.Store("")
	o := own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == lose.Load() {
			return runner.Reply{}, errLost
		}
		return good(60), nil
	})
	lose.Store("write")
	is.Equal(o.execute(unit("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), rolledBack)
	is.Equal(o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), rolledBack)
	lose.Store("commit")
	is.Equal(o.execute(unit("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), answered)
	is.Equal(o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), unknown)
	is.Equal(o.execute(unit("read", wire.StatementKind_STATEMENT_KIND_READ, true)).GetDisposition(), answered)
	is.Equal(o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), rolledBack) // it wrote nothing
}

func TestCommitIsNotAcknowledgedAfterTheLease(t *testing.T) {
	is := is.New(t)
	var o *owner
	o = own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == "commit" {
			o.endLease()
		}
		return good(60), nil
	})
	is.Equal(o.execute(unit("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), answered)
	is.Equal(o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), unknown)
}

func TestStatementsOfATransactionStayTogether(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	_ = o.execute(unit("write", wire.StatementKind_STATEMENT_KIND_WRITE, true))
	is.Equal(o.execute(write()).GetDisposition(), answered) // another caller's
	_ = o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false))
	conns := map[string][]int{}
	for _, r := range o.servers.asked() {
		conns[r.text] = append(conns[r.text], r.conn)
	}
	is.Equal(conns["begin"], conns["commit"])
	is.True(conns["write"][0] == conns["begin"][0] && conns["write"][1] != conns["begin"][0])
}

func TestReplicaReadCarriesItsFloor(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	is.Equal(o.execute(write()).GetDisposition(), answered)
	is.Equal(o.execute(read("aged")).GetDisposition(), answered)
	q := read("own")
	q.Floor = session.Position{Term: 1, Offset: 58}.Wire()
	is.Equal(o.execute(q).GetDisposition(), answered)
	all := o.servers.asked()
	is.Equal(all[1].slot, "r")
	is.True(!all[1].floor.Less(session.Position{Term: 1, Offset: 50})) // what the probe or the write saw
	is.Equal(all[2].slot, "r")
	is.True(!all[2].floor.Less(session.Position{Term: 1, Offset: 58}))
	q.Floor = session.Position{Term: 2, Offset: 1}.Wire()
	is.Equal(o.execute(q).GetDisposition(), answered)
	is.Equal(o.servers.asked()[3].slot, "p") // no replica is known to have a later term
}

func TestLaggingReplicaIsPassedBy(t *testing.T) {
	is := is.New(t)
	o := own(t, func(slot, _ string, _ session.Position) (runner.Reply, error) {
		if slot == "r" {
			return runner.Reply{Result: runner.Lagging, Position: session.Position{Term: 1, Offset: 1}}, nil
		}
		return good(60), nil
	})
	_ = o.execute(read("aged"))
	for range 3 {
		is.Equal(o.execute(read("aged")).GetDisposition(), answered)
	}
	asked := 0
	for _, r := range o.servers.asked() {
		if r.slot == "r" {
			asked++
		}
	}
	is.Equal(asked, 1) // and not again while its position is fresh
}

// TestPrimaryThatChangesUnderAWaitingRead is what broke the age of reads on a bench day: a read
// that waited for the old primary was started on the new one, as on a replica without a floor.
func TestPrimaryThatChangesUnderAWaitingRead(t *testing.T) {
	is := is.New(t)
	running := make(chan bool)
	release := make(chan bool)
	o := own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == "write" {
			running <- true
			<-release
		}
		return good(60), nil
	})
	go o.execute(write())
	<-running
	waiting := make(chan *wire.StatementAnswer, 1)
	go func() { waiting <- o.execute(read("exact")) }()
	o.until(func() bool { return o.holdings()[0].GetDemand() == 2 })
	o.renew(group(2, "r", "p", "r"), 0)
	is.Equal((<-waiting).GetDisposition(), elsewhere)
	close(release)
	for _, r := range o.servers.asked() {
		is.True(r.slot != "r") // the new primary runs nothing without a lease
	}
}

func TestUncleanConnectionIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	o := own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		reply := good(60)
		if text == "write" {
			reply.State = 'T'
		}
		return reply, nil
	})
	_ = o.execute(write())
	_ = o.execute(read("exact"))
	all := o.servers.asked()
	is.True(all[0].conn != all[1].conn)
}

func TestConnectionGetsTheValuesOfItsSession(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	q := read("exact")
	q.Settings = []*wire.Setting{{Name: "a", Value: "1"}}
	_ = o.execute(q)
	_ = o.execute(read("exact"))
	is.Equal(len(o.servers.steps[0].Set), 1)
	is.True(o.servers.steps[1].Reset) // the next session has set nothing
}

func TestNothingBeginsOnALeavingPrimary(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	is.Equal(o.execute(unit("write", wire.StatementKind_STATEMENT_KIND_WRITE, true)).GetDisposition(), answered)
	closing := group(1, "p", "p", "r")
	closing.Closing = true
	o.renew(closing, 1)
	o.until(func() bool { return o.execute(write()).GetDisposition() == elsewhere })
	is.Equal(o.holdings()[0].GetTerm(), uint64(1)) // a transaction is under way
	is.Equal(o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), answered)
	o.until(func() bool { return o.holdings()[0].GetTerm() == 0 })
}

func TestQuietTransactionDoesNotKeepALeavingPrimary(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	_ = o.execute(unit("write", wire.StatementKind_STATEMENT_KIND_WRITE, true))
	closing := group(1, "p", "p", "r")
	closing.Closing = true
	o.renew(closing, 1)
	o.until(func() bool { return o.holdings()[0].GetTerm() == 0 })
	all := o.servers.asked()
	is.Equal(all[len(all)-1].text, "rollback") // before the term is given up
	is.Equal(o.execute(unit("commit", wire.StatementKind_STATEMENT_KIND_COMMIT, false)).GetDisposition(), rolledBack)
}

// TestOwnershipAnew is a group that stayed without a lease for 20 s on a bench day: its owners had
// given the term up, lost the group while control was cut, and never asked for the term again.
func TestOwnershipAnew(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	o.view.Release("g", 1)
	o.endLease()
	o.until(func() bool { return len(o.holdings()) == 0 })
	o.mu.Lock()
	o.late += time.Minute
	o.mu.Unlock()
	o.until(func() bool {
		o.renew(group(1, "p", "p", "r"), 1)
		return len(o.holdings()) == 1 && o.holdings()[0].GetTerm() == 1
	})
	is.Equal(o.execute(write()).GetDisposition(), answered)
}

// TestLostAnswerOfARead has a server run a read and lose its answer: another one is asked, and
// the connection of the first is not used again.
func TestLostAnswerOfARead(t *testing.T) {
	is := is.New(t)
	var lost atomic.Bool
	gone := make(chan bool)
	o := own(t, func(_, text string, _ session.Position) (runner.Reply, error) {
		if text == "read" && lost.CompareAndSwap(false, true) {
			<-gone
			return runner.Reply{}, errLost
		}
		return good(60), nil
	})
	is.Equal(o.execute(write()).GetDisposition(), answered)
	is.Equal(o.execute(read("aged")).GetDisposition(), answered)
	close(gone)
	all := o.servers.asked()
	is.Equal(len(all), 3)
	is.True(all[1].slot != all[2].slot)
}

// TestNothingOfBeforeAStandstillRuns: a VM that wakes finds statements whose callers have gone.
func TestNothingOfBeforeAStandstillRuns(t *testing.T) {
	is := is.New(t)
	o := own(t, func(string, string, session.Position) (runner.Reply, error) { return good(60), nil })
	is.Equal(o.execute(write()).GetDisposition(), answered)
	o.halt()
	time.Sleep(1100 * time.Millisecond) // longer than any beat is late
	a := o.execute(write())
	is.Equal(a.GetDisposition(), elsewhere)
	is.True(strings.Contains(a.GetReason(), "stood still"))
}
