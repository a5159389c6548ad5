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

// rollbackTimeout bounds a rollback; a connection that does not answer in time is closed, which
// rolls back as well.
const rollbackTimeout = time.Second

// transaction is an open transaction with its placement.
type transaction struct {
	id          string
	placement   *placement
	readOnly    bool
	idleTimeout time.Duration

	// mu is held while a statement runs.
	mu       sync.Mutex
	wrote    bool
	ended    bool
	lastUsed time.Time
}

// beginTransaction starts a transaction that may write and runs its first statement.
func (r *Runner) beginTransaction(ctx context.Context, w *workItem) *wire.StatementAnswer {
	p, refused := w.place(ctx, dispatch.Job{PrimaryOnly: true})
	if refused != nil {
		return refused
	}
	p.group.recordRequest(p.sentAt)
	reply, err := p.conn.Begin(w.ioDeadline(), false, session.Position{})
	p.recordReply(reply, err)
	p.logDoubt(w.request.GetId(), reply, err)
	if err != nil || reply.Result != Succeeded {
		if err == nil && reply.Result == ReadOnly {
			p.recordNotPrimary()
		}
		p.release(err == nil && reply.State == 'I')
		return retryElsewhere("the transaction could not be begun")
	}
	tx := r.addTransaction(w, p)
	tx.mu.Lock()
	defer tx.mu.Unlock()
	p.running = true
	return r.runStatement(w, tx)
}

// addTransaction registers a placement whose connection is in a transaction.
func (r *Runner) addTransaction(w *workItem, p *placement) *transaction {
	_, configured, _, _ := r.View.Database(w.request.GetDatabase())
	tx := &transaction{
		id: w.request.GetUnit(), placement: p, readOnly: w.request.GetReadsOnly(), lastUsed: clock.Now(),
		idleTimeout: time.Duration(configured.IdleInTransactionMilliseconds) * time.Millisecond,
	}
	if tx.readOnly {
		p.releaseCapacityKeepConn()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transactions == nil {
		r.transactions = map[string]*transaction{}
	}
	r.transactions[tx.id] = tx
	return tx
}

// resumeTransaction runs a later statement of an open transaction.
func (r *Runner) resumeTransaction(ctx context.Context, w *workItem) *wire.StatementAnswer {
	r.mu.Lock()
	tx := r.transactions[w.request.GetUnit()]
	r.mu.Unlock()
	if tx == nil {
		return rolledBack("the transaction is not known any more")
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
		return rolledBack("the transaction was ended")
	}
	p := tx.placement
	if p.conn.workspace != w.request.GetWorkspace() {
		return rolledBack("the transaction belongs to another workspace")
	}
	arrived := clock.Now()
	assigned := p.group.awaitServer(ctx, dispatch.Job{
		Slot: p.slot, Pinned: true, Priority: w.database.Priority, Deadline: w.deadline, TargetLatency: w.kind().Target, Writes: w.kind().Writes,
	})
	w.waitMicros.Add(clock.Now().Sub(arrived).Microseconds())
	if assigned.refused != nil {
		r.endTransaction(tx, false)
		return rolledBack("the server of the transaction cannot run it in time")
	}
	p.running = true
	if p.onPrimary && !p.group.stillHasLease(p.observed) {
		p.answered = true
		r.endTransaction(tx, false)
		return rolledBack("the lease on the primary ended during the transaction")
	}
	return r.runStatement(w, tx)
}

// runStatement runs one statement in the transaction; tx.mu is held.
func (r *Runner) runStatement(w *workItem, tx *transaction) *wire.StatementAnswer {
	p := tx.placement
	kind := w.request.GetKind()
	commits := kind == wire.StatementKind_STATEMENT_KIND_COMMIT
	tx.wrote = tx.wrote || kind == wire.StatementKind_STATEMENT_KIND_WRITE
	reply, err := p.run(w, session.Position{})
	tx.lastUsed = clock.Now()
	switch {
	case err != nil && commits && tx.wrote && !errors.Is(err, ErrNotSent):
		r.endTransaction(tx, false)
		return unknown("the server was lost while it committed")
	case errors.Is(err, ErrUnreadable) && w.canBeginElsewhere():
		r.endTransaction(tx, false)
		return answered(reply)
	case err != nil:
		r.endTransaction(tx, false)
		return rolledBack("the server was lost during the transaction")
	case reply.Result == Busy || reply.Result == ReadOnly || reply.Result == NotPrepared || reply.Result == Lagging:
		// The transaction cannot continue; it is rolled back.
		if reply.Result == ReadOnly && p.onPrimary {
			p.recordNotPrimary()
		}
		r.endTransaction(tx, false)
		return rolledBack("the server refused a statement of the transaction: " + reply.Code)
	case p.onPrimary && !p.group.stillHasLease(p.observed):
		r.endTransaction(tx, reply.State == 'I')
		if commits && tx.wrote && reply.Result == Succeeded {
			return unknown("the lease for the primary's term ended before the commit was answered")
		}
		if !commits {
			return rolledBack("the lease on the primary ended during the transaction")
		}
	case reply.State != 'T':
		if commits && tx.wrote && reply.Result == Succeeded {
			r.Metrics.WritesAcked.Add(1)
		}
		r.endTransaction(tx, reply.State == 'I')
	default:
		p.releaseCapacityKeepConn()
	}
	return answered(reply)
}

// End rolls back a transaction that its caller has abandoned.
func (r *Runner) End(id string) {
	r.mu.Lock()
	tx := r.transactions[id]
	r.mu.Unlock()
	if tx == nil {
		return
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if !tx.ended {
		r.endTransaction(tx, false)
	}
}

// endTransaction returns the transaction's connection, after a rollback unless it is clean; tx.mu
// is held.
func (r *Runner) endTransaction(tx *transaction, clean bool) {
	tx.ended = true
	r.mu.Lock()
	delete(r.transactions, tx.id)
	r.mu.Unlock()
	p := tx.placement
	if !clean && p.answered && !p.failed {
		clean = p.conn.Rollback(time.Now().Add(rollbackTimeout)) == nil
	}
	p.release(clean)
}

// endIdleTransactions ends transactions that have been idle for longer than their group allows.
func (r *Runner) endIdleTransactions() {
	now := clock.Now()
	r.endMatching("idle for too long", func(tx *transaction) bool { return tx.idleTimeout > 0 && now.Sub(tx.lastUsed) > tx.idleTimeout })
}

// endInactiveTransactions ends the transactions on a server that are not running a statement.
func (r *Runner) endInactiveTransactions(g *group, slot string) {
	r.endMatching("its primary leaves", func(tx *transaction) bool { return tx.placement.group == g && tx.placement.slot == slot })
}

func (r *Runner) endMatching(reason string, matches func(*transaction) bool) {
	r.mu.Lock()
	transactions := make([]*transaction, 0, len(r.transactions))
	for _, tx := range r.transactions {
		transactions = append(transactions, tx)
	}
	r.mu.Unlock()
	for _, tx := range transactions {
		if !tx.mu.TryLock() {
			continue
		}
		if !tx.ended && matches(tx) {
			r.Log.WithFields(map[string]any{"unit": tx.id, "group": tx.placement.group.name, "reason": reason}).Info("ending transaction")
			tx.ended = true
			go func() {
				defer tx.mu.Unlock()
				r.endTransaction(tx, false)
			}()
			continue
		}
		tx.mu.Unlock()
	}
}
