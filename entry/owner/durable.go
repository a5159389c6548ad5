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

// notifyWaiters delivers the results of ended waits; mu is held.
func (g *group) notifyWaiters(ended []watch.WaitResult) {
	for _, d := range ended {
		if waiter := g.waiters[d.ID]; waiter != nil {
			waiter <- d
			delete(g.waiters, d.ID)
		}
	}
}

// endSupersededWaits ends the waits of writes whose lease has ended.
func (g *group) endSupersededWaits(ackTerm uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.primaryWatch.EndSupersededWaits(ackTerm))
}

// awaitPosition waits for a position that covers everything committed before the call; with
// majority, until a majority of the slots has synced it. With a term other than 0 the wait ends when
// the lease for that term does.
func (g *group) awaitPosition(ctx context.Context, majority bool, term uint64) (watch.WaitResult, error) {
	waiter := make(chan watch.WaitResult, 1)
	g.mu.Lock()
	id := g.primaryWatch.StartWait(time.Now(), term, majority)
	g.waiters[id] = waiter
	g.mu.Unlock()
	select {
	case g.pollNow <- struct{}{}:
	default:
	}
	select {
	case done := <-waiter:
		if done.Superseded {
			return done, errSuperseded
		}
		return done, nil
	case <-ctx.Done():
		g.cancelWait(id)
		return watch.WaitResult{}, errNotDurable
	case <-g.ctx.Done():
		g.cancelWait(id)
		return watch.WaitResult{}, errSuperseded
	}
}

func (g *group) cancelWait(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryWatch.CancelWait(id)
	delete(g.waiters, id)
}

// awaitAck waits until a write that the primary answered in term may be acknowledged, and returns a
// position that covers it.
func (g *group) awaitAck(ctx context.Context, term uint64) (session.Position, error) {
	configured, _, _ := g.owner.View.GroupConfig(g.name)
	done, err := g.awaitPosition(ctx, configured.NeedsMajority(), term)
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
	position, ok := g.primaryWatch.History().FloorAt(at)
	g.mu.Unlock()
	if ok {
		return position, nil
	}
	done, err := g.awaitPosition(ctx, false, 0)
	return done.Position, err
}

// acknowledgedFloor returns a position that covers everything that any owner acknowledged before
// the call.
func (g *group) acknowledgedFloor(ctx context.Context) (session.Position, error) {
	done, err := g.awaitPosition(ctx, false, 0)
	return done.Acknowledged, err
}
