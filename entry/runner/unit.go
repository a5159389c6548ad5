package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/dispatch"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire"
)

// rollbackTimeout bounds the end of a transaction that is not committed; a connection that does
// not answer in time is closed, which rolls back as well.
const rollbackTimeout = time.Second

// unit is a transaction under way, with its connection.
type unit struct {
	id       string
	place    *place
	readOnly bool
	idle     time.Duration

	// mu is held while a statement runs.
	mu    sync.Mutex
	wrote bool
	over  bool
	used  time.Time
}

// begin starts a transaction that may write with its first statement.
func (r *Runner) begin(ctx context.Context, w *work) *wire.StatementAnswer {
	p, refused := w.place(ctx, dispatch.Job{Primary: true})
	if refused != nil {
		return refused
	}
	p.group.noteAsked(p.asked)
	reply, err := p.link.Begin(w.left(), false, session.Position{})
	p.noteReply(reply, err)
	if err != nil || reply.Result != Succeeded {
		if err == nil && reply.Result == ReadOnly {
			p.deposed()
		}
		p.release(err == nil && reply.State == 'I')
		return elsewhere("the transaction could not be begun")
	}
	u := r.keep(w, p)
	u.mu.Lock()
	defer u.mu.Unlock()
	p.running = true
	return r.step(w, u)
}

// keep makes a unit of a place whose connection is in a transaction.
func (r *Runner) keep(w *work, p *place) *unit {
	_, configured, _, _ := r.View.Database(w.request.GetDatabase())
	u := &unit{
		id: w.request.GetUnit(), place: p, readOnly: w.request.GetReadsOnly(), used: clock.Now(),
		idle: time.Duration(configured.IdleInTransactionMilliseconds) * time.Millisecond,
	}
	if u.readOnly {
		p.rest()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.units == nil {
		r.units = map[string]*unit{}
	}
	r.units[u.id] = u
	return u
}

// resume runs a further statement of a transaction.
func (r *Runner) resume(w *work) *wire.StatementAnswer {
	r.mu.Lock()
	u := r.units[w.request.GetUnit()]
	r.mu.Unlock()
	if u == nil {
		return rolledBack("the transaction is not known any more")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.over {
		return rolledBack("the transaction was ended")
	}
	p := u.place
	arrived := clock.Now()
	t := p.group.turn(dispatch.Job{Slot: p.slot, Pinned: true, Priority: w.database.Priority, Deadline: w.deadline})
	w.waited.Add(clock.Now().Sub(arrived).Microseconds())
	if t.refused != nil {
		r.end(u, false)
		return rolledBack("the server of the transaction cannot run it in time")
	}
	p.running = true
	if p.onPrimary && !p.group.stillLeads(p.at) {
		p.answered = true
		r.end(u, false)
		return rolledBack("the lease on the primary ended during the transaction")
	}
	return r.step(w, u)
}

// step runs one statement in the transaction; u.mu is held.
func (r *Runner) step(w *work, u *unit) *wire.StatementAnswer {
	p := u.place
	kind := w.request.GetKind()
	commits := kind == wire.StatementKind_STATEMENT_KIND_COMMIT
	u.wrote = u.wrote || kind == wire.StatementKind_STATEMENT_KIND_WRITE
	reply, err := p.run(w, session.Position{})
	u.used = clock.Now()
	switch {
	case err != nil && commits && u.wrote && !errors.Is(err, ErrNotSent):
		r.end(u, false)
		return unknown("the server was lost while it committed")
	case err != nil:
		r.end(u, false)
		return rolledBack("the server was lost during the transaction")
	case reply.Result == Busy || reply.Result == ReadOnly || reply.Result == NotPrepared || reply.Result == Lagging:
		// The transaction cannot go on; nothing of it is kept.
		if reply.Result == ReadOnly && p.onPrimary {
			p.deposed()
		}
		r.end(u, false)
		return rolledBack("the server refused a statement of the transaction: " + reply.Code)
	case p.onPrimary && !p.group.stillLeads(p.at):
		r.end(u, reply.State == 'I')
		if commits && u.wrote && reply.Result == Succeeded {
			return unknown("the lease for the primary's term ended before the commit was answered")
		}
		if !commits {
			return rolledBack("the lease on the primary ended during the transaction")
		}
	case reply.State != 'T':
		if commits && u.wrote && reply.Result == Succeeded {
			r.Metrics.WritesAcked.Add(1)
		}
		r.end(u, reply.State == 'I')
	default:
		p.rest()
	}
	return answered(reply)
}

// End rolls a transaction back that its caller does not want any more.
func (r *Runner) End(id string) {
	r.mu.Lock()
	u := r.units[id]
	r.mu.Unlock()
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.over {
		r.end(u, false)
	}
}

// end gives the connection of a transaction back; unless it is clean it is rolled back first.
// u.mu is held.
func (r *Runner) end(u *unit, clean bool) {
	u.over = true
	r.mu.Lock()
	delete(r.units, u.id)
	r.mu.Unlock()
	p := u.place
	if !clean && p.answered {
		clean = p.link.Rollback(time.Now().Add(rollbackTimeout)) == nil
	}
	p.release(clean)
}

// endIdle ends transactions in which nothing has happened for as long as their group allows.
func (r *Runner) endIdle() {
	now := clock.Now()
	r.endWhere("idle for too long", func(u *unit) bool { return u.idle > 0 && now.Sub(u.used) > u.idle })
}

// endQuiet ends the transactions on a server in which no statement runs now.
func (r *Runner) endQuiet(g *group, slot string) {
	r.endWhere("its primary leaves", func(u *unit) bool { return u.place.group == g && u.place.slot == slot })
}

func (r *Runner) endWhere(reason string, ends func(*unit) bool) {
	r.mu.Lock()
	units := make([]*unit, 0, len(r.units))
	for _, u := range r.units {
		units = append(units, u)
	}
	r.mu.Unlock()
	for _, u := range units {
		if !u.mu.TryLock() {
			continue
		}
		if !u.over && ends(u) {
			r.Log.WithFields(map[string]any{"unit": u.id, "group": u.place.group.name, "reason": reason}).Info("ends a transaction")
			u.over = true
			go func() {
				defer u.mu.Unlock()
				r.end(u, false)
			}()
			continue
		}
		u.mu.Unlock()
	}
}
