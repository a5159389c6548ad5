package budget

import (
	"context"
	"sync"
	"time"
)

// Holding counts what the system holds for one statement: the rows of its answer. It does not give way to others. A nil
// Holding counts nothing.
type Holding struct {
	budget *Budget

	mu sync.Mutex
	// account is nil until the first bytes.
	account *Account
	closed  bool
}

// Hold returns the holding of a statement; the budget may be nil.
func (b *Budget) Hold() *Holding {
	if b == nil {
		return nil
	}
	return &Holding{budget: b}
}

// Take is Account.Take; it returns false once the holding is closed.
func (h *Holding) Take(now time.Time, n int64) bool {
	if h == nil {
		return true
	}
	a := h.open()
	return a != nil && a.Take(now, n)
}

// Refuse is Account.Refuse.
func (h *Holding) Refuse() {
	if a := h.opened(); a != nil {
		a.Refuse()
	}
}

func (h *Holding) open() *Account {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if h.account == nil {
		h.account = h.budget.Open(0, func() {})
	}
	return h.account
}

// opened returns the account, or nil if nothing was taken.
func (h *Holding) opened() *Account {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.account
}

// Give returns n bytes.
func (h *Holding) Give(n int64) {
	if a := h.opened(); a != nil {
		a.Give(n)
	}
}

// Held returns the bytes of the holding.
func (h *Holding) Held() int64 {
	if a := h.opened(); a != nil {
		return a.Held()
	}
	return 0
}

// Close gives back everything.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.closed = true
	a := h.account
	h.mu.Unlock()
	if a != nil {
		a.Close()
	}
}

// MoveTo closes the holding and counts its bytes for a client, without a moment in which nobody counts them. It returns
// the bytes; they are given back if the client has closed its account.
func (h *Holding) MoveTo(to *Account) int64 {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	h.closed = true
	from := h.account
	h.mu.Unlock()
	if from == nil {
		return 0
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if from.closed {
		return 0
	}
	n := from.held
	from.closed = true
	delete(b.accounts, from)
	from.held = 0
	b.used -= n
	if to.closed {
		b.discard(n)
		return 0
	}
	grown := to.counted(to.held+n) - to.counted(to.held)
	to.held += n
	b.used += grown
	if to.evicted {
		b.leaving += grown
	}
	return n
}

type holdingKey struct{}

// WithHolding returns a context of a statement with its holding.
func WithHolding(ctx context.Context, h *Holding) context.Context {
	return context.WithValue(ctx, holdingKey{}, h)
}

// HoldingOf returns the holding of a statement, which is nil if nothing counts it.
func HoldingOf(ctx context.Context) *Holding {
	h, _ := ctx.Value(holdingKey{}).(*Holding)
	return h
}
