package tcp

import (
	"context"
	"net"
)

// SetAttempt replaces what makes one attempt.
func (d *Dialer) SetAttempt(attempt func(context.Context) (net.Conn, error)) {
	d.attempt = func(ctx context.Context, _, _ string) (net.Conn, error) { return attempt(ctx) }
}

// FirstAnswered exports firstAnswered.
var FirstAnswered = firstAnswered
