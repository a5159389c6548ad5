package budget

import (
	"sync"
	"time"
)

// Budget divides the memory for what clients send and are sent among their accounts. A client that takes more than
// there is makes the client give way that holds most for longest without progress.
type Budget struct {
	// Collector frees what was given back; nil means that it is free at once. Set it before the first call.
	Collector Collector

	mu    sync.Mutex
	limit int64
	used  int64
	// leaving is what evicted clients hold until they have closed.
	leaving  int64
	evicted  int64
	refused  int64
	accounts map[*Account]struct{}
	garbage  garbage
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]struct{}{}}
}

// Account counts what one client holds.
type Account struct {
	budget *Budget
	evict  func()
	// allowance is counted with the connection and not against the budget.
	allowance int64
	held      int64
	// awaited is since when the client has been waited for, to send the rest of a message or to read an answer;
	// it is zero while the system works for the client.
	awaited time.Time
	evicted bool
	closed  bool
}

// Open returns the account of a client. The budget calls evict once at most, with its lock held, if the client has to
// give way; evict must not block or use the budget.
func (b *Budget) Open(allowance int64, evict func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, evict: evict, allowance: allowance}
	b.accounts[a] = struct{}{}
	return a
}

// Take adds n bytes to the account before they are allocated. It returns false if they do not fit: the client is
// refused, or asks again after those that gave way have closed their accounts and their memory has been collected.
func (a *Account) Take(now time.Time, n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.take(now, n) && b.awaitCollection(a, n)
}

// Adopt adds n bytes that are in memory already to the account. It returns false if they do not fit.
func (a *Account) Adopt(now time.Time, n int64) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.take(now, n)
}

func (a *Account) take(now time.Time, n int64) bool {
	b := a.budget
	if a.closed || a.evicted {
		return false
	}
	grown := a.counted(a.held+n) - a.counted(a.held)
	for b.used-b.leaving+grown > b.limit {
		victim := b.victim(now, a)
		if victim == nil {
			return false
		}
		victim.evicted = true
		victim.evict()
		b.evicted++
		b.leaving += victim.counted(victim.held)
	}
	if b.used+grown > b.limit {
		return false
	}
	b.used += grown
	a.held += n
	return true
}

// victim returns the client that gives way to a: the one that is waited for and has held most bytes for longest. It is
// nil if none has held more than a.
func (b *Budget) victim(now time.Time, a *Account) *Account {
	var worst *Account
	most := a.burden(now)
	for other := range b.accounts {
		if other == a || other.evicted || other.awaited.IsZero() || other.counted(other.held) == 0 {
			continue
		}
		if burden := other.burden(now); burden > most {
			worst, most = other, burden
		}
	}
	return worst
}

// burden is the bytes held times the milliseconds for which the client has been waited for.
func (a *Account) burden(now time.Time) int64 {
	if a.awaited.IsZero() {
		return 0
	}
	return a.counted(a.held) * (1 + max(0, now.Sub(a.awaited).Milliseconds()))
}

func (a *Account) counted(held int64) int64 { return max(0, held-a.allowance) }

// Give returns n bytes.
func (a *Account) Give(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.give(min(n, a.held))
}

func (a *Account) give(n int64) {
	shrunk := a.counted(a.held) - a.counted(a.held-n)
	a.held -= n
	a.budget.used -= shrunk
	a.budget.discard(shrunk)
	if a.evicted {
		a.budget.leaving -= shrunk
	}
}

// Keep gives back all but n bytes.
func (a *Account) Keep(n int64) { a.Give(max(0, a.Held()-n)) }

// Held returns the bytes of the account.
func (a *Account) Held() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Await marks that the client is waited for since now.
func (a *Account) Await(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.awaited.IsZero() {
		a.awaited = now
	}
}

// Work marks that the system works for the client, which does not give way then.
func (a *Account) Work() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.awaited = time.Time{}
}

// Refuse counts a client that was refused after it had waited for memory.
func (a *Account) Refuse() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.refused++
}

// Gone reports whether the account is closed or its client has to give way, so that it can take no more.
func (a *Account) Gone() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.closed || a.evicted
}

// Close gives back everything.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.give(a.held)
	delete(b.accounts, a)
}

// Counts are the state of a budget for metrics.
type Counts struct {
	Limit, Used, Evicted, Refused int64
	// Uncollected is what was given back and may still be in memory.
	Uncollected int64
}

// Counts returns the state of the budget.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Limit: b.limit, Used: b.used, Evicted: b.evicted, Refused: b.refused, Uncollected: b.uncollected()}
}
