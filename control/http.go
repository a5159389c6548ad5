package control

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"trefoilcourse/wire/conns"
)

// serveHTTP serves health and metrics until ctx ends, if the settings have an HTTP address.
func (s *Server) serveHTTP(ctx context.Context) error {
	if s.Settings.HTTP == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.Settings.HTTP)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", s.health)
	mux.Handle("/debug/vars", expvar.Handler())
	server := conns.NewHTTPServer(mux)
	listener = s.Pressure.Limit("http", listener, s.Settings.Limits().HTTP, "")
	s.httpDone = make(chan error, 1)
	go func() { s.httpDone <- server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// pressureLogInterval is how often it is checked whether something was refused.
const pressureLogInterval = time.Second

// logPressure logs what the limits of this process refuse, until ctx ends.
func (s *Server) logPressure(ctx context.Context) {
	ticker := time.NewTicker(pressureLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if counts, refused := s.Pressure.Report(now); refused {
				s.Log.WithFields(counts).Warn("clients refused or disconnected by limits; counts since the start")
			}
		}
	}
}

// health responds with 200 while this VM leads or hears from a leader.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	good := false
	s.runInLoop(r.Context(), func(now time.Time) { good = s.leading(now) || s.node.LeaderKey() != "" })
	if !good {
		http.Error(w, "no leader is heard", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
