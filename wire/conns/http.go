package conns

import (
	"net/http"
	"time"
)

const (
	// headerTimeout and httpTimeout are many round trips on a slow link.
	headerTimeout = 5 * time.Second
	httpTimeout   = 15 * time.Second
	// idleTimeout is longer than the intervals of health checks and heartbeats.
	idleTimeout = time.Minute
	// headerBytes exceeds what balancers and certificates' proxies add.
	headerBytes = 8 << 10
)

// NewHTTPServer returns a server whose requests have limits in size and time.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
}
