package owner

import (
	"context"
	"errors"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/watch"
)

var (
	errNotDurable = errors.New("a majority of the group's slots did not confirm it in time")
	errSuperseded = errors.New("the lease for the primary's term ended before it was confirmed")
)

// wakeDone tells waiters how their waits ended; mu is held.
func (g *group) wakeDone(ended []watch.Done) {
	for _, d := range ended {
		if waiter := g.waiters[d.ID]; waiter != nil {
			waiter <- d
			delete(g.waiters, d.ID)
		}
	}
}

// dropSuperseded ends the waits of writes whose lease has ended.
func (g *group) dropSuperseded(ackTerm uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeDone(g.seen.Superseded(ackTerm))
}

// await waits for a position that covers everything committed before now: with majority, until
// enough slots have it. With a term other than 0 the wait ends when the lease for it does.
func (g *group) await(ctx context.Context, majority bool, term uint64) (watch.Done, error) {
	waiter := make(chan watch.Done, 1)
	g.mu.Lock()
	id := g.seen.Await(time.Now(), term, majority)
	g.waiters[id] = waiter
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case done := <-waiter:
		if done.Superseded {
			return done, errSuperseded
		}
		return done, nil
	case <-ctx.Done():
		g.forgetWait(id)
		return watch.Done{}, errNotDurable
	case <-g.ctx.Done():
		g.forgetWait(id)
		return watch.Done{}, errSuperseded
	}
}

func (g *group) forgetWait(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.Cancel(id)
	delete(g.waiters, id)
}

// acknowledge waits until a write of term that has been answered by the primary may be
// acknowledged, and returns the position that covers it.
func (g *group) acknowledge(ctx context.Context, term uint64) (session.Position, error) {
	configured, _, _ := g.owner.View.GroupConfig(g.name)
	done, err := g.await(ctx, configured.NeedsMajority(), term)
	if err != nil {
		return session.Position{}, err
	}
	if g.owner.View.AckTerm(g.name) != term {
		return session.Position{}, errSuperseded
	}
	return done.Position, nil
}

// floorAt returns a position that covers everything committed before at.
func (g *group) floorAt(ctx context.Context, at time.Time) (session.Position, error) {
	g.mu.Lock()
	position, ok := g.seen.Sightings().FloorAt(at)
	g.mu.Unlock()
	if ok {
		return position, nil
	}
	done, err := g.await(ctx, false, 0)
	return done.Position, err
}

// acknowledgedFloor returns a position that covers everything acknowledged before now, by
// whichever owner.
func (g *group) acknowledgedFloor(ctx context.Context) (session.Position, error) {
	done, err := g.await(ctx, false, 0)
	return done.Acknowledged, err
}
