package main

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// statementTimeout is how long a consumer waits for an answer.
const statementTimeout = 3 * time.Second

// ledger keeps what consumers sent and what they were answered with success.
type ledger struct {
	mu        sync.Mutex
	sent      map[string]string
	successes []success
	// promised holds the ids of the attempts that were answered with a promise that nothing of them is kept, with its code.
	promised map[string]string
}

// success is a statement that was answered with success.
type success struct {
	id     string
	answer answer
}

func newLedger() *ledger { return &ledger{sent: map[string]string{}, promised: map[string]string{}} }

// promises are the codes that promise that nothing of an attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}

// attempt is a consumer's attempt at a statement or a transaction.
type attempt struct {
	ledger *ledger
	ids    []string
}

// query sends a request of a session under a new id and waits for its answer.
func (p *attempt) query(s *session, text string) (id string, a answer, err error) {
	id = newRequestID()
	p.ids = append(p.ids, id)
	l := p.ledger
	l.mu.Lock()
	l.sent[id] = text
	l.mu.Unlock()
	a, err = s.query(id, text, statementTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
	case a.succeeded():
		l.successes = append(l.successes, success{id, a})
	case slices.Contains(promises, a.code):
		for _, id := range p.ids {
			l.promised[id] = a.code
		}
	}
	return id, a, err
}

// mixed counts the successes of reads, writes and commits that a database did not give to the statement, and notes each.
func (l *ledger) mixed(g *group) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, s := range l.successes {
		text := l.sent[s.id]
		word, _, _ := strings.Cut(text, " ")
		if word != "READ" && word != "WRITE" && word != "EXECUTE" && word != "COMMIT" {
			continue
		}
		e, ran := g.executions[s.answer.mac]
		switch {
		case !ran:
			g.rec.add("MIXED: %s %s got a success that no database gave: %s", s.id, shortened(text), s.answer)
		case e.id != s.id:
			g.rec.add("MIXED: %s %s got a success that %s gave to %s %s: %s", s.id, shortened(text), e.database, e.id, shortened(e.text), s.answer)
		case !slices.Equal(e.rows, s.answer.rows):
			g.rec.add("MIXED: %s %s got other rows than %q, which %s sent: %s", s.id, shortened(text), e.rows, e.database, s.answer)
		default:
			continue
		}
		count++
	}
	return count
}

// unasked counts the statements that a database ran under an id or with a text that no consumer sent, and notes each. The
// system may rename a prepared statement.
func (l *ledger) unasked(g *group) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, e := range g.executions {
		text, sent := l.sent[e.id]
		switch {
		case !sent:
			g.rec.add("UNASKED: %s ran %s %s, which no consumer sent", e.database, e.id, shortened(e.text))
		case withoutName(e.text) != withoutName(text):
			g.rec.add("UNASKED: %s ran %s %s, of which the consumer sent %s", e.database, e.id, shortened(e.text), shortened(text))
		default:
			continue
		}
		count++
	}
	return count
}

// refusedAndTwice counts the committed writes of attempts that were answered with a promise, and the writes that were
// committed more than once; each is noted.
func (l *ledger) refusedAndTwice(g *group, log []commit) (refused, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	committed := map[string]int{}
	for _, c := range log {
		for _, id := range c.ids {
			committed[id]++
			if code, ok := l.promised[id]; ok {
				g.rec.add("REFUSED: %s %s is committed, and its consumer was answered %s", id, shortened(l.sent[id]), code)
				refused++
			}
			if committed[id] == 2 {
				g.rec.add("TWICE: %s %s is committed twice", id, shortened(l.sent[id]))
				twice++
			}
		}
	}
	return refused, twice
}

// withoutName leaves the name of the prepared statement out of the text of an EXECUTE.
func withoutName(text string) string {
	if named, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		_, arguments, _ := strings.Cut(named, " ")
		return "EXECUTE " + arguments
	}
	return text
}
