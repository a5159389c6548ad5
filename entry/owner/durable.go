package owner

import (
	"context"
	"errors"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/backend"
)

var (
	errNotDurable = errors.New("a majority of the group's slots did not confirm it in time")
	errSuperseded = errors.New("the lease for the primary's term ended before it was confirmed")
)

// waiter waits until what was committed before a time is held by a majority of the slots.
type waiter struct {
	since    time.Time
	majority bool
	position session.Position
	known    bool
	term     uint64
	err      error
	done     chan struct{}
}

// learn takes note of a poll and reports whether the wait is over.
func (w *waiter) learn(r backend.Report, majority session.Position) bool {
	if !w.known && !r.Asked.Before(w.since) {
		w.position = r.Position
		w.known = true
	}
	if !w.known || w.majority && majority.Less(w.position) {
		return false
	}
	close(w.done)
	return true
}

// await returns a position that covers everything committed before now: with majority, once
// enough slots have it. With a term other than 0 the wait ends when the lease for it does.
func (g *group) await(ctx context.Context, majority bool, term uint64) (session.Position, error) {
	w := &waiter{since: time.Now(), majority: majority, term: term, done: make(chan struct{})}
	g.mu.Lock()
	if len(g.waiters) == 0 {
		g.advanceAt = w.since
	}
	g.waiters[w] = true
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	defer func() {
		g.mu.Lock()
		delete(g.waiters, w)
		g.mu.Unlock()
	}()
	select {
	case <-w.done:
		return w.position, w.err
	case <-ctx.Done():
		return session.Position{}, errNotDurable
	case <-g.ctx.Done():
		return session.Position{}, errSuperseded
	}
}

// acknowledge waits until a write of term that has been answered by the primary may be
// acknowledged, and returns the position that covers it.
func (g *group) acknowledge(ctx context.Context, term uint64) (session.Position, error) {
	configured, _, _ := g.owner.View.Configured(g.name)
	position, err := g.await(ctx, configured.NeedsMajority(), term)
	if err != nil {
		return session.Position{}, err
	}
	if position.Term != term || g.owner.View.AckTerm(time.Now(), g.name) != term {
		return session.Position{}, errSuperseded
	}
	return position, nil
}

// dropSuperseded ends the waits of writes whose lease has ended.
func (g *group) dropSuperseded(ackTerm uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.waiters {
		if w.term != 0 && w.term != ackTerm {
			w.err = errSuperseded
			close(w.done)
			delete(g.waiters, w)
		}
	}
}

// floorAt returns a position that covers everything committed before at.
func (g *group) floorAt(ctx context.Context, at time.Time) (session.Position, error) {
	g.mu.Lock()
	position, ok := g.sightings.FloorAt(at)
	g.mu.Unlock()
	if ok {
		return position, nil
	}
	return g.await(ctx, false, 0)
}
