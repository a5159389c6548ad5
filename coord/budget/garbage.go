package budget

// Collector frees memory that is not referenced any more.
type Collector interface {
	// Cycles returns how many cycles have completed.
	Cycles() uint64
	// Collect starts a cycle unless the last one was a moment ago, and calls done when it has completed. It returns
	// false if no cycle was started. It must not block or call done itself.
	Collect(done func()) bool
}

// garbage counts what was given back since recent cycles, the latest last.
type garbage struct {
	given []given
	// collecting is set while a cycle runs that the budget has started.
	collecting bool
}

type given struct {
	// cycles is how many cycles had completed.
	cycles uint64
	bytes  int64
	// covered is set if a cycle that the budget has started began later.
	covered bool
}

// lagCycles is how many cycles have to complete until memory is free: one may have been under way when it was given
// back.
const lagCycles = 2

// discard counts bytes that were given back; mu is held.
func (b *Budget) discard(bytes int64) {
	if b.Collector == nil || bytes == 0 {
		return
	}
	cycles := b.Collector.Cycles()
	g := &b.garbage
	if last := len(g.given) - 1; last >= 0 && g.given[last].cycles == cycles && !g.given[last].covered {
		g.given[last].bytes += bytes
		return
	}
	b.uncollected()
	g.given = append(g.given, given{cycles: cycles, bytes: bytes})
}

// uncollected returns the bytes that were given back and may still be in memory; mu is held.
func (b *Budget) uncollected() int64 {
	if len(b.garbage.given) == 0 {
		return 0
	}
	cycles := b.Collector.Cycles()
	sum, kept := int64(0), b.garbage.given[:0]
	for _, g := range b.garbage.given {
		if g.cycles+lagCycles > cycles {
			sum += g.bytes
			kept = append(kept, g)
		}
	}
	b.garbage.given = kept
	return sum
}

// awaitCollection takes back what a has just taken, and returns false, if it does not fit beside what has not been
// collected; mu is held.
func (b *Budget) awaitCollection(a *Account, n int64) bool {
	if b.used+b.uncollected() <= b.limit || a.counted(a.held) == 0 {
		return true
	}
	before := a.counted(a.held)
	a.held -= n
	b.used -= before - a.counted(a.held)
	b.collect()
	return false
}

// collect starts a cycle; mu is held.
func (b *Budget) collect() {
	if b.garbage.collecting || !b.Collector.Collect(b.collected) {
		return
	}
	b.garbage.collecting = true
	for i := range b.garbage.given {
		b.garbage.given[i].covered = true
	}
}

// collected frees what was given back before the cycle began that collect has started.
func (b *Budget) collected() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.garbage.collecting = false
	kept := b.garbage.given[:0]
	for _, g := range b.garbage.given {
		if !g.covered {
			kept = append(kept, g)
		}
	}
	b.garbage.given = kept
}
