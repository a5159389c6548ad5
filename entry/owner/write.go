package owner

import (
	"context"
	"errors"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
)

var errAbandoned = errors.New("the caller is gone")

// acquirePrimary returns a connection to the primary of the term for which this VM holds a lease.
func (g *group) acquirePrimary(ctx context.Context) (*backend.Conn, *outcome.Refusal) {
	for {
		conn, err := g.tryAcquirePrimary(ctx)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, errPoolClosed) {
			return nil, notOwner(g.name)
		}
		select {
		case <-ctx.Done():
			return nil, outcome.NotRun(outcome.NoPrimary, "database "+g.name+" has no usable primary: "+err.Error(), "Send it again; a new primary is chosen within seconds.")
		case <-time.After(reconcileInterval):
		}
	}
}

var (
	errNoPrimary = errors.New("no primary is known")
	errNoLease   = errors.New("no lease for the primary's term")
	errLeaving   = errors.New("the primary leaves and another is about to follow it")
)

func (g *group) tryAcquirePrimary(ctx context.Context) (*backend.Conn, error) {
	state := g.owner.View.Group(g.name)
	server := serverOf(state, state.GetPrimarySlot())
	if server == nil {
		return nil, errNoPrimary
	}
	if err := g.beginOnPrimary(state.GetTerm()); err != nil {
		return nil, err
	}
	conn, err := g.pool.get(ctx, server.GetSlot(), server.GetAddress(), state.GetTerm())
	if err != nil {
		g.endOnPrimary()
		return nil, err
	}
	if !conn.Primary() {
		g.releasePrimary(conn, false)
		return nil, errNoPrimary
	}
	return conn, nil
}

// beginOnPrimary counts a unit of work on the primary, or returns an error if none may start there.
func (g *group) beginOnPrimary(term uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primaryClosing {
		return errLeaving
	}
	if g.owner.View.AckTerm(g.name) != term {
		return errNoLease
	}
	g.primaryUnits++
	return nil
}

func (g *group) endOnPrimary() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryUnits--
}

// releasePrimary returns a connection obtained from acquirePrimary to the pool.
func (g *group) releasePrimary(conn *backend.Conn, clean bool) {
	g.pool.put(conn, clean)
	g.endOnPrimary()
}

// releaseLeavingTerm releases the term of a leaving primary once no unit runs on it, and restores it
// if the primary no longer leaves.
func (g *group) releaseLeavingTerm() {
	state := g.owner.View.Group(g.name)
	leaving := serverOf(state, state.GetPrimarySlot()).GetLeaving()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryClosing = leaving
	if leaving && g.primaryUnits == 0 {
		g.owner.View.Release(g.name, state.GetTerm())
	}
	if !leaving && g.termReleased {
		g.owner.View.Restore(g.name)
	}
	g.termReleased = leaving && g.primaryUnits == 0
}

// runWrite runs a unit that may write, on the primary.
func (u *unit) runWrite(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, u.deadline)
	defer cancel()
	conn, refusal := u.group.acquirePrimary(ctx)
	if refusal != nil {
		u.refuse(refusal)
		return
	}
	if err := conn.SetReadOnly(false, u.deadline); err != nil {
		u.group.releasePrimary(conn, false)
		u.refuse(outcome.NotRun(outcome.ServerLost, "the backend server was lost before the request was sent", "Send it again."))
		return
	}
	if u.open.GetRequestKey() != "" {
		u.runKeyed(conn)
		return
	}
	u.runOn(conn)
}

func (u *unit) runOn(conn *backend.Conn) {
	if err := u.attach(conn); err != nil {
		u.group.releasePrimary(conn, false)
		u.refuse(u.connLostRefusal())
		return
	}
	clean := u.relayWrite(conn)
	u.group.releasePrimary(conn, clean)
}

// relayWrite forwards the server's answers. It holds back every frame that reveals a commit until the
// commit may be acknowledged, and reports whether the connection can be reused.
func (u *unit) relayWrite(conn *backend.Conn) bool {
	answer := &bufferedAnswer{}
	for {
		f, err := conn.Next()
		if err != nil {
			u.refuse(u.connLostRefusal())
			return false
		}
		f = u.rewriteReply(f)
		if f.Type != frame.ReadyForQuery {
			if answer.add(f) > maxBufferedBytes && !u.acknowledgeEarly(conn, answer) {
				return false
			}
			if err := u.stream.send(answer.takeUncommitted(), !conn.Buffered()); err != nil {
				u.refuse(u.connLostRefusal())
				return false
			}
			continue
		}
		ended, ok := u.finishRequest(conn, answer, f)
		if ended || !ok {
			return ok
		}
	}
}

// finishRequest handles the end of a request: a possible commit is acknowledged before its answer is
// sent.
func (u *unit) finishRequest(conn *backend.Conn, answer *bufferedAnswer, f frame.Frame) (ended, ok bool) {
	status := f.Body[0]
	if answer.completed && (status == frame.Idle || answer.committed) {
		position, refusal := u.awaitAck(conn)
		if refusal != nil {
			u.refuse(refusal)
			return true, false
		}
		u.group.owner.Metrics.WritesAcked.Add(1)
		answer.frames = append(answer.frames, floorFrame(position))
	}
	ended = u.handleReady(status)
	frames := append(answer.takeAll(), f)
	answer.reset()
	if err := u.stream.send(frames, true); err != nil {
		return true, ended
	}
	return ended, true
}

// acknowledgeEarly acknowledges what may have committed so far and sends the buffered frames, once
// they exceed maxBufferedBytes.
func (u *unit) acknowledgeEarly(conn *backend.Conn, answer *bufferedAnswer) bool {
	if _, refusal := u.awaitAck(conn); refusal != nil {
		u.refuse(refusal)
		return false
	}
	frames := answer.takeAll()
	answer.frames = nil
	answer.size = 0
	return u.stream.send(frames, true) == nil
}

func (u *unit) awaitAck(conn *backend.Conn) (session.Position, *outcome.Refusal) {
	ctx, cancel := context.WithDeadline(u.group.ctx, time.Now().Add(u.answerTimeout()))
	defer cancel()
	position, err := u.group.awaitAck(ctx, conn.Term())
	if err != nil {
		refusal := outcome.MayHaveRun(err.Error())
		refusal.Fatal = u.inTransaction()
		return position, refusal
	}
	return position, nil
}

func (u *unit) inTransaction() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tracker.InTransaction()
}

// bufferedAnswer is the part of an answer that is not yet sent.
type bufferedAnswer struct {
	frames    []frame.Frame
	size      int
	completed bool
	committed bool
}

// add buffers a frame and returns the number of bytes held back for an acknowledgement.
func (a *bufferedAnswer) add(f frame.Frame) int {
	if f.Type == frame.CommandComplete {
		a.completed = true
		a.committed = a.committed || string(f.Body) == "COMMIT\x00"
	}
	a.frames = append(a.frames, f)
	a.size += f.Size()
	if !a.completed {
		return 0
	}
	return a.size
}

// takeUncommitted removes and returns the buffered frames if none of them reveals a commit.
func (a *bufferedAnswer) takeUncommitted() []frame.Frame {
	if a.completed {
		return nil
	}
	return a.takeAll()
}

// takeAll removes and returns all buffered frames.
func (a *bufferedAnswer) takeAll() []frame.Frame {
	frames := a.frames
	a.frames = nil
	a.size = 0
	return frames
}

func (a *bufferedAnswer) reset() { *a = bufferedAnswer{} }
