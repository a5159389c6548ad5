package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/config"
	"trefoilcourse/coord/route"
	"trefoilcourse/coord/session"
	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
)

const (
	defaultReadWait     = 50 * time.Millisecond
	replayCheckInterval = 2 * time.Millisecond
	replayCheckTimeout  = 300 * time.Millisecond
	floorTimeout        = time.Second
)

var (
	errBehind   = errors.New("the replica has not caught up")
	errWrites   = errors.New("the read writes after all")
	errAnswered = errors.New("the unit was answered")
)

// runRead runs a unit that only reads: on a replica that has replayed the floor, otherwise on the
// primary. The transaction is read only, so a failed one can be retried on another server.
func (u *unit) runRead(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, u.deadline)
	defer cancel()
	counters := u.group.owner.Metrics
	_, policy, _ := u.group.owner.View.GroupConfig(u.group.name)
	if policy.Replicas {
		counters.ReadsEligible.Add(1)
		floor, err := u.requiredFloor(ctx, policy)
		if err == nil {
			err = u.readFromReplicas(ctx, policy, floor)
		}
		switch {
		case errors.Is(err, errAnswered):
			counters.ReadsByReplica.Add(1)
			return
		case errors.Is(err, errWrites):
			counters.ReadsEligible.Add(-1)
			counters.ReadsAsWrites.Add(1)
			u.runWrite(ctx)
			return
		}
	}
	u.readFromPrimary(ctx)
}

// requiredFloor returns the position that a replica must have replayed. It covers what the session
// has seen, or, if that is unknown, everything acknowledged when the unit arrived; and everything
// committed before the start of the staleness allowance.
func (u *unit) requiredFloor(ctx context.Context, policy config.ResolvedReadPolicy) (session.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	allowance := policy.MaxStaleness
	if requested := time.Duration(u.open.GetStalenessMilliseconds()) * time.Millisecond; requested > 0 && requested < allowance {
		allowance = requested
	}
	counters := u.group.owner.Metrics
	seen := session.FromWire(u.open.GetFloor())
	if u.open.GetFloorKnown() {
		counters.FloorsKnown.Add(1)
	} else {
		counters.FloorsConservative.Add(1)
		acknowledged, err := u.group.acknowledgedFloor(ctx)
		if err != nil {
			return seen, err
		}
		seen = acknowledged
		u.unsentFloor = &seen
	}
	allowed, err := u.group.floorAt(ctx, u.startedAt.Add(-allowance))
	return allowed.Max(seen), err
}

// readFromReplicas tries the replicas in order of rank; errAnswered means that one has answered.
func (u *unit) readFromReplicas(ctx context.Context, policy config.ResolvedReadPolicy, floor session.Position) error {
	wait := policy.Wait
	if wait == 0 {
		wait = defaultReadWait
	}
	waitUntil := time.Now().Add(wait)
	err := errBehind
	for i, choice := range u.group.rankReplicas(floor, wait) {
		if i > 0 && !u.group.allowRetry() {
			break
		}
		err = u.readFromReplica(ctx, choice, floor, waitUntil)
		if errors.Is(err, errAnswered) || errors.Is(err, errWrites) || !u.retryable() {
			break
		}
	}
	return err
}

// rankReplicas returns the usable replicas, best first.
func (g *group) rankReplicas(floor session.Position, wait time.Duration) []route.Candidate {
	state := g.owner.View.Group(g.name)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var servers []route.Server
	for _, s := range state.GetServers() {
		server, known := g.primaryWatch.Replica(s.GetSlot())
		if s.GetSlot() == state.GetPrimarySlot() || !known {
			continue
		}
		server.FailureDomain = s.GetFailureDomain()
		server.Leaving = s.GetLeaving()
		server.InFlight = g.activeReads[s.GetSlot()]
		servers = append(servers, server)
	}
	return route.RankReplicas(now, g.primaryWatch.History(), servers, route.Request{
		Floor: floor, Term: state.GetTerm(), FailureDomain: g.owner.FailureDomain, MaxWait: wait,
	})
}

func (g *group) addActiveReads(slot string, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeReads[slot] += change
}

// readFromReplica runs the unit on one replica, after the connection used has shown that the floor
// is replayed.
func (u *unit) readFromReplica(ctx context.Context, choice route.Candidate, floor session.Position, waitUntil time.Time) error {
	state := u.group.owner.View.Group(u.group.name)
	server := serverOf(state, choice.Slot)
	if server == nil || server.GetLeaving() {
		return errBehind
	}
	u.group.addActiveReads(choice.Slot, 1)
	defer u.group.addActiveReads(choice.Slot, -1)
	conn, err := u.group.pool.get(ctx, choice.Slot, server.GetAddress(), state.GetTerm())
	if err != nil {
		return err
	}
	if err := u.awaitFloor(ctx, conn, choice.PredictedWait, floor, waitUntil); err != nil {
		u.group.pool.put(conn, errors.Is(err, errBehind))
		return err
	}
	clean, err := u.readOn(conn, func() error { return nil })
	u.group.pool.put(conn, clean)
	return err
}

// awaitFloor waits until the replica has replayed the floor, at most until waitUntil.
func (u *unit) awaitFloor(ctx context.Context, conn *backend.Conn, predicted time.Duration, floor session.Position, waitUntil time.Time) error {
	if !conn.KnownPosition().Less(floor) {
		return nil
	}
	u.group.sleep(ctx, predicted)
	for {
		u.group.owner.Metrics.ReplayChecks.Add(1)
		position, err := conn.QueryReplayPosition(time.Now().Add(replayCheckTimeout))
		if err != nil {
			return err
		}
		if !position.Less(floor) {
			return nil
		}
		if !time.Now().Before(waitUntil) {
			return errBehind
		}
		u.group.sleep(ctx, replayCheckInterval)
	}
}

// readFromPrimary runs the unit on the primary and checks the lease before the answer is sent, so no
// later primary can have acknowledged a write that the answer lacks.
func (u *unit) readFromPrimary(ctx context.Context) {
	for {
		conn, refusal := u.group.acquirePrimary(ctx)
		if refusal != nil {
			u.refuse(refusal)
			return
		}
		clean, err := u.readOn(conn, func() error { return u.checkLease(conn) })
		u.group.releasePrimary(conn, clean)
		switch {
		case errors.Is(err, errAnswered):
			u.group.owner.Metrics.ReadsByPrimary.Add(1)
			return
		case errors.Is(err, errWrites):
			u.group.owner.Metrics.ReadsAsWrites.Add(1)
			u.runWrite(ctx)
			return
		case !u.retryable() || !u.group.allowRetry():
			r := outcome.NotRun(outcome.ServerLost, "the backend server was lost before the read was answered: "+err.Error(), "Send it again.")
			r.Fatal = u.inTransaction()
			u.refuse(r)
			return
		}
	}
}

func (u *unit) checkLease(conn *backend.Conn) error {
	if u.group.owner.View.AckTerm(u.group.name) != conn.Term() {
		return errSuperseded
	}
	return nil
}

// readOn runs the unit on a connection. It returns errAnswered when the caller has its answer,
// errWrites when the server rejected a write, and another error when the unit may be retried on
// another server, if it is retryable.
func (u *unit) readOn(conn *backend.Conn, permitted func() error) (clean bool, err error) {
	if err := conn.SetReadOnly(true, time.Now().Add(replayCheckTimeout)); err != nil {
		return false, err
	}
	if err := u.attach(conn); err != nil {
		return false, err
	}
	clean, err = u.relayRead(conn, permitted)
	if !errors.Is(err, errAnswered) {
		u.detach()
	}
	return clean, err
}

// relayRead forwards the answer. It holds back up to maxBufferedReadBytes and sends them only if
// permitted succeeds, because the unit cannot be retried after that.
func (u *unit) relayRead(conn *backend.Conn, permitted func() error) (clean bool, err error) {
	var held []frame.Frame
	size := 0
	rejected := false
	for {
		f, err := conn.Next()
		if err != nil {
			return false, u.handleReadFailure(err)
		}
		f = u.rewriteReply(f)
		if f.Type == frame.ErrorResponse && u.retryable() && isReadOnlyError(f) {
			rejected = true
		}
		if rejected {
			if f.Type == frame.ReadyForQuery {
				return f.Body[0] == frame.Idle, errWrites
			}
			continue
		}
		held = append(held, f)
		size += f.Size()
		if f.Type != frame.ReadyForQuery && size < maxBufferedReadBytes {
			continue
		}
		if err := permitted(); err != nil {
			return false, u.handleReadFailure(err)
		}
		ended := f.Type == frame.ReadyForQuery && u.handleReady(f.Body[0])
		if f.Type == frame.ReadyForQuery && u.unsentFloor != nil {
			held = slices.Insert(held, len(held)-1, floorFrame(*u.unsentFloor))
			u.unsentFloor = nil
		}
		u.stopBuffering()
		if err := u.stream.send(held, f.Type == frame.ReadyForQuery || !conn.Buffered()); err != nil {
			return ended, errAnswered
		}
		held, size = nil, 0
		if ended {
			return true, errAnswered
		}
	}
}

// stopBuffering marks the unit as not retryable, since a part of the answer is being sent.
func (u *unit) stopBuffering() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.buffering = false
}

// handleReadFailure returns err if the unit can be retried; otherwise a part of the answer has been
// sent, and the unit ends with a refusal.
func (u *unit) handleReadFailure(err error) error {
	if u.retryable() {
		return err
	}
	refusal := outcome.NotRun(outcome.ServerLost, "the read could not be answered whole: "+err.Error(), "Send it again.")
	refusal.Fatal = true
	u.refuse(refusal)
	return errAnswered
}

func isReadOnlyError(f frame.Frame) bool {
	var m pgproto3.ErrorResponse
	return m.Decode(f.Body) == nil && m.Code == outcome.ReadOnly
}
