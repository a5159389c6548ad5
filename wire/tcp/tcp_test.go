package tcp_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire/tcp"
)

const retryAfter = 100 * time.Millisecond

// restartingPeer is a VM without power until up. What is sent to it before is lost and sent again a
// second later.
type restartingPeer struct {
	up       time.Time
	refuses  bool
	attempts atomic.Int64
	open     atomic.Int64
}

// dial sets up a connection as TCP does.
func (p *restartingPeer) dial(ctx context.Context) (net.Conn, error) {
	p.attempts.Add(1)
	for time.Now().Before(p.up) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Second):
		}
	}
	if p.refuses {
		return nil, errors.New("refused")
	}
	p.open.Add(1)
	return &countedConn{peer: p}, nil
}

type countedConn struct {
	net.Conn
	peer *restartingPeer
}

// Close counts the connection as closed.
func (c *countedConn) Close() error {
	c.peer.open.Add(-1)
	return nil
}

// TestPeerThatReturnsIsReachedAtOnce checks that a connection to a VM that was without power when the
// first attempt began does not wait until TCP sends again.
func TestPeerThatReturnsIsReachedAtOnce(t *testing.T) {
	for _, c := range []struct {
		upAfter, within time.Duration
		attempts        int64
	}{
		{0, 0, 1},
		{150 * time.Millisecond, 200 * time.Millisecond, 3},
		{250 * time.Millisecond, 300 * time.Millisecond, 4},
		{2500 * time.Millisecond, 3 * time.Second, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			peer := &restartingPeer{up: start.Add(c.upAfter)}
			conn, err := tcp.FirstAnswered(t.Context(), retryAfter, peer.dial)
			is.NoErr(err)
			is.True(conn != nil)
			is.True(time.Since(start) <= c.within)
			synctest.Wait()
			is.Equal(peer.attempts.Load(), c.attempts)
			is.Equal(peer.open.Load(), int64(1)) // the other attempts left nothing open
		})
	}
}

// TestLateAttemptsAreClosed checks that connections which come after the first are closed.
func TestLateAttemptsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &restartingPeer{}
		slow := func(context.Context) (net.Conn, error) {
			time.Sleep(350 * time.Millisecond) // heeds no context
			return peer.dial(context.Background())
		}
		_, err := tcp.FirstAnswered(t.Context(), retryAfter, slow)
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(peer.attempts.Load(), int64(4))
		is.Equal(peer.open.Load(), int64(1))
	})
}

// TestRefusalIsAnAnswer checks that a refused connection is not tried again, and that the context ends
// all attempts.
func TestRefusalIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &restartingPeer{refuses: true}
		_, err := tcp.FirstAnswered(t.Context(), retryAfter, peer.dial)
		is.True(err != nil)
		is.Equal(peer.attempts.Load(), int64(1))
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &restartingPeer{up: time.Now().Add(time.Hour)}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := tcp.FirstAnswered(ctx, retryAfter, peer.dial)
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}

// TestDialerWithoutRetryAfterTriesOnce checks that only a dialer that is told to tries again.
func TestDialerWithoutRetryAfterTriesOnce(t *testing.T) {
	for _, c := range []struct {
		retryAfter time.Duration
		attempts   int64
	}{{0, 1}, {retryAfter, 3}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			peer := &restartingPeer{up: time.Now().Add(150 * time.Millisecond)}
			dialer := &tcp.Dialer{RetryAfter: c.retryAfter}
			dialer.SetAttempt(peer.dial)
			conn, err := dialer.DialContext(t.Context(), "tcp", "10.0.0.1:1")
			is.NoErr(err)
			is.True(conn != nil)
			synctest.Wait()
			is.Equal(peer.attempts.Load(), c.attempts)
		})
	}
}

// TestDialer checks that connections are set up and that a dialer without a listener gets an error.
func TestDialer(t *testing.T) {
	is := is.New(t)
	listener, err := tcp.Listen("127.0.0.1:0")
	is.NoErr(err)
	dialer := &tcp.Dialer{Timeout: time.Minute, RetryAfter: time.Minute}
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.NoErr(listener.Close())
	_, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	is.True(err != nil)
}
