package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/budget"
	"trefoilcourse/coord/cancel"
	"trefoilcourse/entry/announce"
	"trefoilcourse/entry/caller"
	"trefoilcourse/entry/control"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/link"
	"trefoilcourse/entry/owner"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/identity"
	"trefoilcourse/wire/protorpc"
)

const (
	drainPollInterval = 20 * time.Millisecond
	handoverTimeout   = 2 * control.RenewInterval
	httpTimeout       = 5 * time.Second
	healthPath        = "/healthz"
	variablesPath     = "/debug/vars"
	incarnationLen    = 6
)

// Server is one entry VM; set the exported fields before Run.
type Server struct {
	// Settings are the settings of this VM.
	Settings Settings
	// CallerListener, LinkListener and HTTPListener accept connections; nil opens the
	// addresses of Settings.
	CallerListener net.Listener
	LinkListener   net.Listener
	HTTPListener   net.Listener
	// ControlDialer, LinkDialer and BackendDialer open connections; nil means plain TCP.
	ControlDialer protorpc.Dialer
	LinkDialer    protorpc.Dialer
	BackendDialer protorpc.Dialer
	// Memory is the budget for the messages of clients; nil means one by Settings.
	Memory *budget.Budget
	// Log receives changes of state; nil means the standard logger.
	Log logrus.FieldLogger

	metrics  metrics.Metrics
	pressure conns.Pressure
	traffic  protorpc.Traffic
	view     *view.View
	client   *control.Client
	owner    *owner.Owner
	callers  *caller.Server
	links    *link.Pool
	draining atomic.Bool
	ended    chan error
	running  int
	// drainRequested is closed when an operator requests a drain of this VM.
	drainRequested chan struct{}
}

// Metrics returns the counters as one expvar variable.
func (s *Server) Metrics() expvar.Var { return s.metrics.Var() }

// ConfigurationVersion returns the version in force on this VM, 0 before the first.
func (s *Server) ConfigurationVersion() uint64 {
	if s.view == nil {
		return 0
	}
	return s.view.Version()
}

// Reads returns how many reads the policies allowed on replicas, and how many ran there.
func (s *Server) Reads() (eligible, byReplica int64) {
	return s.metrics.ReadsEligible.Value(), s.metrics.ReadsByReplica.Value()
}

// ControlTraffic returns the bytes exchanged with control VMs.
func (s *Server) ControlTraffic() *protorpc.Traffic { return &s.traffic }

// Prepare opens the listeners, so that the accessors may be used before Run; Run calls it if needed.
func (s *Server) Prepare() error {
	if s.view != nil {
		return nil
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.build()
	return nil
}

// Run serves until ctx ends or an operator requests a drain and requests under way have finished, or until a
// part of the server fails.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Settings.Check(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.Prepare(); err != nil {
		return trace.Wrap(err)
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.ended = make(chan error, 5)
	s.launch(func() error { return s.owner.Run(work) })
	s.launch(func() error { return s.client.Run(work) })
	s.launch(func() error { return link.Serve(work, s.LinkListener, s.handle, s.Memory) })
	s.launch(func() error { return s.callers.Run(work, s.CallerListener) })
	server := conns.NewHTTPServer(s.handler())
	s.launch(func() error { return server.Serve(s.HTTPListener) })
	go s.logPressure(work)
	var err error
	select {
	case <-ctx.Done():
		s.drain(server)
	case <-s.drainRequested:
		s.drain(server)
	case err = <-s.ended:
		s.running--
	}
	cancel()
	s.closeAll(server)
	for range s.running {
		<-s.ended
	}
	s.links.Close()
	return trace.Wrap(err)
}

// logPressure logs what is refused until ctx ends.
func (s *Server) logPressure(ctx context.Context) {
	ticker := time.NewTicker(pressureLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			logPressure(&s.pressure, now, s.Log)
		}
	}
}

func (s *Server) launch(f func() error) {
	s.running++
	go func() { s.ended <- f() }()
}

func (s *Server) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&s.CallerListener, s.Settings.Callers}, {&s.LinkListener, s.Settings.Links}, {&s.HTTPListener, s.Settings.HTTP}} {
		if *l.listener != nil {
			continue
		}
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		*l.listener = opened
	}
	limits := s.Settings.Limits()
	s.CallerListener = s.pressure.Limit("callers", s.CallerListener, limits.Callers, caller.TooManyConnections())
	s.LinkListener = s.pressure.Limit("links", s.LinkListener, limits.Links, "")
	s.HTTPListener = s.pressure.Limit("http", s.HTTPListener, limits.HTTP, "")
	return nil
}

func (s *Server) build() {
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	if s.Memory == nil {
		s.Memory = budget.New(s.Settings.Limits().Bytes)
		s.Memory.Collector = &conns.Collector{}
	}
	log := s.Log.WithField("vm", s.Settings.VM)
	s.metrics.StartID.Set(newIncarnation())
	s.pressure.Memory = memoryCounts(s.Memory)
	s.metrics.Add("limits", &s.pressure)
	s.metrics.Publish("trefoil-entry-" + s.Settings.VM)
	s.configureTLS()
	s.view = view.New()
	s.links = &link.Pool{Dialer: s.LinkDialer}
	s.client = &control.Client{
		VM: s.Settings.VM, Incarnation: newIncarnation(), FailureDomain: s.Settings.FailureDomain,
		LinkAddress: s.linkAddress(), Addresses: s.Settings.control(), Dialer: s.ControlDialer,
		View: s.view, Traffic: &s.traffic,
	}
	s.drainRequested = make(chan struct{})
	s.client.Drain = sync.OnceFunc(func() { close(s.drainRequested) })
	s.client.Prepare()
	s.owner = &owner.Owner{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, View: s.view,
		Dialer: dialerOrDefault(s.BackendDialer), RequestRenewal: s.client.RequestRenewal, Metrics: &s.metrics, Log: log,
		Memory: s.Memory,
	}
	s.client.Reporter = s.owner
	s.callers = &caller.Server{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, View: s.view,
		Links: s.links, Members: s.client.Members, Metrics: &s.metrics, Log: log, TLS: s.callerTLS(), Memory: s.Memory,
		MessageTimeout: s.Settings.MessageTimeout(),
	}
}

// configureTLS adds TLS to listeners and dialers as the settings require.
func (s *Server) configureTLS() {
	if s.Settings.TLS == nil {
		return
	}
	id := &identity.Identity{Files: *s.Settings.TLS}
	dialer := &identity.Dialer{Identity: id}
	if s.ControlDialer == nil {
		s.ControlDialer = dialer
	}
	if s.LinkDialer == nil {
		s.LinkDialer = dialer
	}
	s.LinkListener = tls.NewListener(s.LinkListener, id.MutualTLSConfig())
	s.HTTPListener = tls.NewListener(s.HTTPListener, id.OptionalClientCertConfig())
}

// callerTLS returns the TLS configuration for callers, or nil without TLS.
func (s *Server) callerTLS() *tls.Config {
	if s.Settings.CallerTLS == nil {
		return nil
	}
	return (&identity.Identity{Files: *s.Settings.CallerTLS}).ServerTLSConfig()
}

// requireCertificate rejects clients without a verified certificate if the settings configure TLS.
func (s *Server) requireCertificate(h http.Handler) http.Handler {
	if s.Settings.TLS == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			http.Error(w, "a certificate is needed", http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func dialerOrDefault(d protorpc.Dialer) protorpc.Dialer {
	if d == nil {
		return &net.Dialer{}
	}
	return d
}

func (s *Server) linkAddress() string {
	if s.Settings.Advertise != "" {
		return s.Settings.Advertise
	}
	return s.LinkListener.Addr().String()
}

func newIncarnation() string {
	id := make([]byte, incarnationLen)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// handle serves a stream from another entry VM: units of work or a cancel request.
func (s *Server) handle(ctx context.Context, open *wire.Open, stream net.Conn) {
	if key := open.GetCancelKey(); key != 0 {
		s.callers.Cancel(cancel.Key(key))
		_ = stream.Close()
		return
	}
	s.owner.Serve(ctx, open, stream)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(announce.Path, s.requireCertificate(&announce.Handler{View: s.view, Sink: s.client, Metrics: &s.metrics}))
	mux.HandleFunc(healthPath, s.health)
	mux.Handle(variablesPath, s.requireCertificate(expvar.Handler()))
	return mux
}

// health reports to the balancer whether this VM accepts callers.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !s.view.Confirmed():
		http.Error(w, "configuration unconfirmed", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// drain waits for requests under way: the health check fails, idle callers are told to leave, and the
// control leader moves the groups of this VM to others.
func (s *Server) drain(server *http.Server) {
	s.draining.Store(true)
	s.Log.WithField("vm", s.Settings.VM).Info("draining started")
	s.client.SetDraining()
	time.Sleep(s.Settings.drainDelay())
	_ = s.CallerListener.Close()
	s.callers.Drain()
	for s.callers.CallerCount() > 0 || s.owner.Running() > 0 {
		time.Sleep(drainPollInterval)
	}
	for deadline := time.Now().Add(handoverTimeout); time.Now().Before(deadline) && len(s.view.LeasedGroups()) > 0; {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}

func (s *Server) closeAll(server *http.Server) {
	_ = s.CallerListener.Close()
	_ = s.LinkListener.Close()
	if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.Log.WithError(err).Debug("closing the HTTP server failed")
	}
}
