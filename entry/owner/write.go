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

// acquirePrimary returns a connection to the primary of the term that this VM has a lease for.
func (g *group) acquirePrimary(ctx context.Context) (*backend.Conn, *outcome.Refusal) {
	for {
		conn, err := g.tryPrimary(ctx)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, errPoolClosed) {
			return nil, notOwner(g.name)
		}
		select {
		case <-ctx.Done():
			return nil, outcome.NotRun(outcome.NoPrimary, "database "+g.name+" has no usable primary: "+err.Error(), "Send it again; a new primary is chosen within seconds.")
		case <-time.After(tendInterval):
		}
	}
}

var (
	errNoPrimary = errors.New("no primary is known")
	errNoLease   = errors.New("no lease for the primary's term")
	errLeaving   = errors.New("the primary leaves and another is about to follow it")
)

func (g *group) tryPrimary(ctx context.Context) (*backend.Conn, error) {
	state := g.owner.View.Group(g.name)
	server := serverOf(state, state.GetPrimarySlot())
	if server == nil {
		return nil, errNoPrimary
	}
	if err := g.enterPrimary(state.GetTerm()); err != nil {
		return nil, err
	}
	conn, err := g.pool.get(ctx, server.GetSlot(), server.GetAddress(), state.GetTerm())
	if err != nil {
		g.leavePrimary()
		return nil, err
	}
	if !conn.Primary() {
		g.putPrimary(conn, false)
		return nil, errNoPrimary
	}
	return conn, nil
}

// enterPrimary counts a unit of work on the primary, unless none may begin there.
func (g *group) enterPrimary(term uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing {
		return errLeaving
	}
	if g.owner.View.AckTerm(g.name) != term {
		return errNoLease
	}
	g.onPrimary++
	return nil
}

func (g *group) leavePrimary() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPrimary--
}

// putPrimary gives a connection back that acquirePrimary returned.
func (g *group) putPrimary(conn *backend.Conn, clean bool) {
	g.pool.put(conn, clean)
	g.leavePrimary()
}

// handOver gives up the term of a leaving primary once nothing runs on it any more.
func (g *group) handOver() {
	state := g.owner.View.Group(g.name)
	leaving := serverOf(state, state.GetPrimarySlot()).GetLeaving()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = leaving
	if leaving && g.onPrimary == 0 {
		g.owner.View.Release(g.name, state.GetTerm())
	}
	if !leaving && g.handedOver {
		g.owner.View.Restore(g.name)
	}
	g.handedOver = leaving && g.onPrimary == 0
}

// runWrite runs a unit that may write on the primary.
func (u *unit) runWrite(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, u.deadline)
	defer cancel()
	conn, refusal := u.group.acquirePrimary(ctx)
	if refusal != nil {
		u.refuse(refusal)
		return
	}
	if err := conn.SetReadOnly(false, u.deadline); err != nil {
		u.group.putPrimary(conn, false)
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
		u.group.putPrimary(conn, false)
		u.refuse(u.lost())
		return
	}
	clean := u.relayWrite(conn)
	u.group.putPrimary(conn, clean)
}

// relayWrite passes the server's answers on, holding back whatever tells of a commit until it
// may be acknowledged; it reports whether the connection may be used again.
func (u *unit) relayWrite(conn *backend.Conn) bool {
	h := &held{}
	for {
		f, err := conn.Next()
		if err != nil {
			u.refuse(u.lost())
			return false
		}
		f = u.answered(f)
		if f.Type != frame.ReadyForQuery {
			if h.add(f) > maxKeptBytes && !u.letGo(conn, h) {
				return false
			}
			if err := u.serving.send(h.passable(), !conn.Buffered()); err != nil {
				u.refuse(u.lost())
				return false
			}
			continue
		}
		over, ok := u.settle(conn, h, f)
		if over || !ok {
			return ok
		}
	}
}

// settle ends a request: what may have been committed is acknowledged only when it may be.
func (u *unit) settle(conn *backend.Conn, h *held, f frame.Frame) (over, ok bool) {
	status := f.Body[0]
	if h.completed && (status == frame.Idle || h.committed) {
		position, refusal := u.acknowledge(conn)
		if refusal != nil {
			u.refuse(refusal)
			return true, false
		}
		u.group.owner.Metrics.WritesAcked.Add(1)
		h.frames = append(h.frames, floorFrame(position))
	}
	over = u.ready(status)
	frames := append(h.all(), f)
	h.reset()
	if err := u.serving.send(frames, true); err != nil {
		return true, over
	}
	return over, true
}

// letGo acknowledges what may have been committed so far when too much is held back.
func (u *unit) letGo(conn *backend.Conn, h *held) bool {
	if _, refusal := u.acknowledge(conn); refusal != nil {
		u.refuse(refusal)
		return false
	}
	frames := h.all()
	h.frames = nil
	h.size = 0
	return u.serving.send(frames, true) == nil
}

func (u *unit) acknowledge(conn *backend.Conn) (session.Position, *outcome.Refusal) {
	ctx, cancel := context.WithDeadline(u.group.ctx, time.Now().Add(u.patience()))
	defer cancel()
	position, err := u.group.acknowledge(ctx, conn.Term())
	if err != nil {
		r := outcome.MayHaveRun(err.Error())
		r.Fatal = u.inTransaction()
		return position, r
	}
	return position, nil
}

func (u *unit) inTransaction() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tracker.InTransaction()
}

// held is the part of an answer that is not yet passed on.
type held struct {
	frames    []frame.Frame
	size      int
	completed bool
	committed bool
}

// add takes a frame and returns the bytes held back.
func (h *held) add(f frame.Frame) int {
	if f.Type == frame.CommandComplete {
		h.completed = true
		h.committed = h.committed || string(f.Body) == "COMMIT\x00"
	}
	h.frames = append(h.frames, f)
	h.size += f.Size()
	if !h.completed {
		return 0
	}
	return h.size
}

// passable returns the frames that tell nothing of a commit.
func (h *held) passable() []frame.Frame {
	if h.completed {
		return nil
	}
	return h.all()
}

// all returns everything and holds nothing any more.
func (h *held) all() []frame.Frame {
	frames := h.frames
	h.frames = nil
	h.size = 0
	return frames
}

func (h *held) reset() { *h = held{} }
