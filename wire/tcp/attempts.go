package tcp

import (
	"context"
	"net"
	"time"
)

// maxAttempts limits the attempts to set up one connection.
const maxAttempts = 4

// attempt is the outcome of one attempt to set up a connection.
type attempt struct {
	conn net.Conn
	err  error
}

// firstAnswered dials, and again after each interval without an answer. It returns the outcome of the
// first attempt that ends, a refusal included, and closes what the others may still bring.
func firstAnswered(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan attempt, maxAttempts)
	next := time.NewTicker(interval)
	defer next.Stop()
	for started := 0; ; {
		if started < maxAttempts {
			started++
			go func() {
				conn, err := dial(ctx)
				ended <- attempt{conn, err}
			}()
		}
		select {
		case first := <-ended:
			go closeRest(ended, started-1)
			return first.conn, first.err
		case <-next.C:
		}
	}
}

// closeRest closes the connections of attempts that ended too late.
func closeRest(ended <-chan attempt, count int) {
	for range count {
		if late := <-ended; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}
