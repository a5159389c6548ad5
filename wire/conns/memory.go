package conns

import "time"

// Account counts what one connection holds; budget.Account implements it.
type Account interface {
	Take(now time.Time, n int64) bool
	Adopt(now time.Time, n int64) bool
	Give(n int64)
	Held() int64
	Await(now time.Time)
	Work()
	// Refuse counts a client that was refused.
	Refuse()
	// Gone reports whether the account is closed or has to be.
	Gone() bool
	Close()
}

// Memory counts the bytes of a connection's messages; nil counts nothing.
type Memory struct{ Account Account }

// Take adds n bytes and waits for others to give way; it reports false if the connection has to do without.
func (m *Memory) Take(n int) bool {
	return m == nil || m.wait(retries, func() bool { return m.Account.Take(time.Now(), int64(n)) })
}

// TakeSoon is Take for n bytes that are in memory already: it waits for a moment only, as many more may do the same.
func (m *Memory) TakeSoon(n int) bool {
	return m == nil || m.wait(soonRetries, func() bool { return m.Account.Adopt(time.Now(), int64(n)) })
}

func (m *Memory) wait(times int, take func() bool) bool {
	if retry(times, take, m.Account.Gone) {
		return true
	}
	if !m.Account.Gone() {
		m.Account.Refuse()
	}
	return false
}

// Give returns n bytes.
func (m *Memory) Give(n int) {
	if m != nil {
		m.Account.Give(int64(n))
	}
}

// Keep gives back all but n bytes.
func (m *Memory) Keep(n int) {
	if m != nil {
		m.Account.Give(max(0, m.Account.Held()-int64(n)))
	}
}

// Await marks that the peer is waited for, to send or to read.
func (m *Memory) Await() {
	if m != nil {
		m.Account.Await(time.Now())
	}
}

// Work marks that the system works for the peer.
func (m *Memory) Work() {
	if m != nil {
		m.Account.Work()
	}
}

// Close gives back everything.
func (m *Memory) Close() {
	if m != nil {
		m.Account.Close()
	}
}
