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
	defaultReadWait = 50 * time.Millisecond
	proveInterval   = 2 * time.Millisecond
	proveTimeout    = 300 * time.Millisecond
	floorTimeout    = time.Second
)

var (
	errBehind   = errors.New("the replica has not caught up")
	errWrites   = errors.New("the read writes after all")
	errAnswered = errors.New("the unit was answered")
)

// runRead runs a unit that only reads: on a replica that has the floor, otherwise on the
// primary. Transactions are read only, so that a failed one may be run again elsewhere.
func (u *unit) runRead(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, u.deadline)
	defer cancel()
	m := u.group.owner.Metrics
	_, reading, _ := u.group.owner.View.GroupConfig(u.group.name)
	if reading.Replicas {
		m.ReadsEligible.Add(1)
		floor, err := u.floor(ctx, reading)
		if err == nil {
			err = u.readFromReplicas(ctx, reading, floor)
		}
		switch {
		case errors.Is(err, errAnswered):
			m.ReadsByReplica.Add(1)
			return
		case errors.Is(err, errWrites):
			m.ReadsEligible.Add(-1)
			m.ReadsAsWrites.Add(1)
			u.runWrite(ctx)
			return
		}
	}
	u.readFromPrimary(ctx)
}

// floor returns the position that a replica must have: what the session has seen, or, when that
// is not known, everything that was acknowledged when the unit arrived; and what the primary had
// as long ago as the staleness allowance says.
func (u *unit) floor(ctx context.Context, reading config.Reading) (session.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	allowance := reading.Staleness
	if asked := time.Duration(u.open.GetStalenessMilliseconds()) * time.Millisecond; asked > 0 && asked < allowance {
		allowance = asked
	}
	m := u.group.owner.Metrics
	seen := session.FromWire(u.open.GetFloor())
	if u.open.GetFloorKnown() {
		m.FloorsKnown.Add(1)
	} else {
		m.FloorsConservative.Add(1)
		acknowledged, err := u.group.acknowledgedFloor(ctx)
		if err != nil {
			return seen, err
		}
		seen = acknowledged
		u.learned = &seen
	}
	fresh, err := u.group.floorAt(ctx, u.began.Add(-allowance))
	return fresh.Max(seen), err
}

// readFromReplicas tries the replicas in order; errAnswered means that one has answered.
func (u *unit) readFromReplicas(ctx context.Context, reading config.Reading, floor session.Position) error {
	wait := reading.Wait
	if wait == 0 {
		wait = defaultReadWait
	}
	until := time.Now().Add(wait)
	err := errBehind
	for i, choice := range u.group.choose(floor, wait) {
		if i > 0 && !u.group.retry() {
			break
		}
		err = u.readFrom(ctx, choice, floor, until)
		if errors.Is(err, errAnswered) || errors.Is(err, errWrites) || !u.repeatable() {
			break
		}
	}
	return err
}

// choose ranks the replicas that this VM knows of.
func (g *group) choose(floor session.Position, wait time.Duration) []route.Choice {
	state := g.owner.View.Group(g.name)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var servers []route.Server
	for _, s := range state.GetServers() {
		server, known := g.seen.Replica(s.GetSlot())
		if s.GetSlot() == state.GetPrimarySlot() || !known {
			continue
		}
		server.FailureDomain = s.GetFailureDomain()
		server.Leaving = s.GetLeaving()
		server.Busy = g.busy[s.GetSlot()]
		servers = append(servers, server)
	}
	return route.Choose(now, g.seen.Sightings(), servers, route.Request{
		Floor: floor, Term: state.GetTerm(), FailureDomain: g.owner.FailureDomain, Wait: wait,
	})
}

func (g *group) setBusy(slot string, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy[slot] += change
}

// readFrom runs the unit on one replica once that has shown the floor on the connection used.
func (u *unit) readFrom(ctx context.Context, choice route.Choice, floor session.Position, until time.Time) error {
	state := u.group.owner.View.Group(u.group.name)
	server := serverOf(state, choice.Slot)
	if server == nil || server.GetLeaving() {
		return errBehind
	}
	u.group.setBusy(choice.Slot, 1)
	defer u.group.setBusy(choice.Slot, -1)
	conn, err := u.group.pool.get(ctx, choice.Slot, server.GetAddress(), state.GetTerm())
	if err != nil {
		return err
	}
	if err := u.catchUp(ctx, conn, choice.Wait, floor, until); err != nil {
		u.group.pool.put(conn, errors.Is(err, errBehind))
		return err
	}
	clean, err := u.readOn(conn, func() error { return nil })
	u.group.pool.put(conn, clean)
	return err
}

// catchUp waits, within limits, until the replica has shown the floor.
func (u *unit) catchUp(ctx context.Context, conn *backend.Conn, predicted time.Duration, floor session.Position, until time.Time) error {
	if !conn.Proven().Less(floor) {
		return nil
	}
	u.group.sleep(ctx, predicted)
	for {
		u.group.owner.Metrics.ReplayChecks.Add(1)
		position, err := conn.Prove(time.Now().Add(proveTimeout))
		if err != nil {
			return err
		}
		if !position.Less(floor) {
			return nil
		}
		if !time.Now().Before(until) {
			return errBehind
		}
		u.group.sleep(ctx, proveInterval)
	}
}

// readFromPrimary runs the unit on the primary, whose lease is checked before the answer is
// passed on: no later primary can have acknowledged anything that the answer lacks.
func (u *unit) readFromPrimary(ctx context.Context) {
	for {
		conn, refusal := u.group.acquirePrimary(ctx)
		if refusal != nil {
			u.refuse(refusal)
			return
		}
		clean, err := u.readOn(conn, func() error { return u.stillLeads(conn) })
		u.group.putPrimary(conn, clean)
		switch {
		case errors.Is(err, errAnswered):
			u.group.owner.Metrics.ReadsByPrimary.Add(1)
			return
		case errors.Is(err, errWrites):
			u.group.owner.Metrics.ReadsAsWrites.Add(1)
			u.runWrite(ctx)
			return
		case !u.repeatable() || !u.group.retry():
			r := outcome.NotRun(outcome.ServerLost, "the backend server was lost before the read was answered: "+err.Error(), "Send it again.")
			r.Fatal = u.inTransaction()
			u.refuse(r)
			return
		}
	}
}

func (u *unit) stillLeads(conn *backend.Conn) error {
	if u.group.owner.View.AckTerm(u.group.name) != conn.Term() {
		return errSuperseded
	}
	return nil
}

// readOn runs the unit on a connection and returns errAnswered when the caller has its answer,
// errWrites when the server refused since it writes, and another error when it may be run
// elsewhere, if it is repeatable.
func (u *unit) readOn(conn *backend.Conn, permitted func() error) (clean bool, err error) {
	if err := conn.SetReadOnly(true, time.Now().Add(proveTimeout)); err != nil {
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

// relayRead passes the answer on, the first part only when it cannot have to be taken back.
func (u *unit) relayRead(conn *backend.Conn, permitted func() error) (clean bool, err error) {
	var waiting []frame.Frame
	size := 0
	writes := false
	for {
		f, err := conn.Next()
		if err != nil {
			return false, u.readLost(err)
		}
		f = u.answered(f)
		if f.Type == frame.ErrorResponse && u.repeatable() && refusesWrite(f) {
			writes = true
		}
		if writes {
			if f.Type == frame.ReadyForQuery {
				return f.Body[0] == frame.Idle, errWrites
			}
			continue
		}
		waiting = append(waiting, f)
		size += f.Size()
		if f.Type != frame.ReadyForQuery && size < maxReadHeld {
			continue
		}
		if err := permitted(); err != nil {
			return false, u.readLost(err)
		}
		over := f.Type == frame.ReadyForQuery && u.ready(f.Body[0])
		if f.Type == frame.ReadyForQuery && u.learned != nil {
			waiting = slices.Insert(waiting, len(waiting)-1, floorFrame(*u.learned))
			u.learned = nil
		}
		u.commitToAnswer()
		if err := u.serving.send(waiting, f.Type == frame.ReadyForQuery || !conn.Buffered()); err != nil {
			return over, errAnswered
		}
		waiting, size = nil, 0
		if over {
			return true, errAnswered
		}
	}
}

// commitToAnswer takes note that a part of the answer is on its way, so that the unit cannot
// be run again.
func (u *unit) commitToAnswer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keep = false
}

// readLost turns a failure after a part of the answer was passed on into the end of the unit.
func (u *unit) readLost(err error) error {
	if u.repeatable() {
		return err
	}
	r := outcome.NotRun(outcome.ServerLost, "the read could not be answered whole: "+err.Error(), "Send it again.")
	r.Fatal = true
	u.refuse(r)
	return errAnswered
}

func refusesWrite(f frame.Frame) bool {
	var m pgproto3.ErrorResponse
	return m.Decode(f.Body) == nil && m.Code == outcome.ReadOnly
}
