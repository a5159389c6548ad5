package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"trefoilcourse/coord/budget"
	"trefoilcourse/entry/control"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/runner"
	"trefoilcourse/entry/sessions"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/protorpc"
)

const (
	metricsPath = "/metrics"
	// balancerDelay is how long a balancer may keep sending callers after the health check starts to
	// fail: it checks each second and needs two failures.
	balancerDelay = 2200 * time.Millisecond
	// stopMargin is the part of the grace period that remains when the daemon exits by itself.
	stopMargin = 500 * time.Millisecond
	// leaderSilenceLimit is how long a VM stays healthy without a response of the control leader. It is
	// longer than a renewal interval; as a balancer needs two failures, a change of leader moves no callers.
	leaderSilenceLimit = 700 * time.Millisecond
	// contactCheckInterval is how often contact with the control leader and other VMs is checked.
	contactCheckInterval = 250 * time.Millisecond
)

// CallerServer serves callers in the protocol that it implements.
type CallerServer interface {
	// Run serves callers until ctx ends and every connection is closed.
	Run(ctx context.Context, listener net.Listener, s *sessions.Sessions) error
	// Drain closes each connection as soon as it is idle; transactions may continue until the deadline.
	Drain(deadline time.Time)
	// SetCloseIdle sets whether idle connections are closed.
	SetCloseIdle(enabled bool)
	// Connections returns the number of open connections.
	Connections() int
}

// StatementServer is an entry VM for announced groups, with the caller and server protocols
// supplied as interfaces; set the exported fields before Run.
type StatementServer struct {
	// Settings are the settings of this VM.
	Settings Settings
	// Callers and Servers implement the protocols.
	Callers CallerServer
	Servers runner.Connector
	// Dialer opens connections to the system's other processes.
	Dialer protorpc.Dialer
	// Memory is the budget for the messages of clients; nil means one by Settings.
	Memory *budget.Budget
	// Listen opens listeners; nil means plain TCP.
	Listen func(address string) (net.Listener, error)
	// Reload delivers changed settings.
	Reload <-chan Settings
	// Log receives state changes; nil means the standard logger.
	Log logrus.FieldLogger

	metrics   metrics.Metrics
	pressure  conns.Pressure
	view      *view.View
	client    *control.Client
	runner    *runner.Runner
	sessions  *sessions.Sessions
	draining  atomic.Bool
	closeIdle bool
	callers   net.Listener
	links     net.Listener
	http      net.Listener
	// metricsListener is nil if Settings.Metrics is empty.
	metricsListener net.Listener
}

// Run serves until ctx ends and then drains within the grace period, or returns when a part of the
// server fails.
func (s *StatementServer) Run(ctx context.Context) error {
	if err := s.Settings.Check(); err != nil {
		return trace.Wrap(err)
	}
	if s.Memory == nil {
		s.Memory = budget.New(s.Settings.Limits().Bytes)
		s.Memory.Collector = &conns.Collector{}
	}
	if err := s.listen(); err != nil {
		return trace.Wrap(err)
	}
	s.build()
	s.Log.WithFields(logrus.Fields{"failure-domain": s.Settings.FailureDomain, "seeds": s.Settings.Seeds}).Info("entry VM started")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := conns.NewHTTPServer(s.handler())
	parts := []func() error{
		func() error { return s.runner.Run(work) },
		func() error { return s.client.Run(work) },
		func() error {
			return sessions.ServeWithin(work, s.links, s.runner, &sessions.Explain{Sessions: s.sessions, Local: s.runner}, s.Memory)
		},
		func() error { return s.Callers.Run(work, s.callers, s.sessions) },
		func() error { return server.Serve(s.http) },
	}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- part() }()
	}
	if s.metricsListener != nil {
		mux := http.NewServeMux()
		mux.HandleFunc(metricsPath, metrics.ServeText)
		mux.Handle(variablesPath, expvar.Handler())
		counters := conns.NewHTTPServer(mux)
		context.AfterFunc(work, func() { _ = counters.Close() })
		// A failure of the metrics server does not stop the VM.
		go func() { s.Log.WithError(counters.Serve(s.metricsListener)).Info("metrics server stopped") }()
	}
	running := len(parts)
	contactCheck := time.NewTicker(contactCheckInterval)
	defer contactCheck.Stop()
	var err error
	for stop := false; !stop; {
		select {
		case <-ctx.Done():
			s.drain()
			stop = true
		case next := <-s.Reload:
			s.reload(next)
		case <-contactCheck.C:
			s.updateCloseIdle()
			logPressure(&s.pressure, time.Now(), s.Log)
		case err = <-ended:
			running--
			stop = true
		}
	}
	cancel()
	s.closeAll(server)
	for range running {
		<-ended
	}
	s.Log.WithError(err).Info("entry VM stopped")
	return trace.Wrap(err)
}

func (s *StatementServer) listen() error {
	open := s.Listen
	if open == nil {
		open = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&s.callers, s.Settings.Callers}, {&s.links, s.Settings.Links}, {&s.http, s.Settings.HTTP}} {
		opened, err := open(l.address)
		if err != nil {
			return err
		}
		*l.listener = opened
	}
	limits := s.Settings.Limits()
	s.callers = s.pressure.Limit("callers", s.callers, limits.Callers, callerRefusal)
	s.links = s.pressure.Limit("links", s.links, limits.Links, "")
	s.http = s.pressure.Limit("http", s.http, limits.HTTP, "")
	if s.Settings.Metrics == "" {
		return nil
	}
	opened, err := open(s.Settings.Metrics)
	if err == nil {
		s.metricsListener = s.pressure.Limit("http", opened, limits.HTTP, "")
	}
	return err
}

func (s *StatementServer) build() {
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	s.Log = s.Log.WithField("vm", s.Settings.VM)
	incarnation := newIncarnation()
	s.metrics.StartID.Set(incarnation)
	s.pressure.Memory = memoryCounts(s.Memory)
	s.metrics.Add("limits", &s.pressure)
	s.metrics.Publish("trefoil-entry-" + s.Settings.VM)
	s.view = view.New()
	dialer := dialerOrDefault(s.Dialer)
	s.client = &control.Client{
		VM: s.Settings.VM, Incarnation: incarnation, FailureDomain: s.Settings.FailureDomain,
		LinkAddress: s.Settings.Links, Capacity: s.Settings.capacity(), Addresses: s.Settings.control(), Dialer: dialer,
		View: s.view, Traffic: &protorpc.Traffic{}, Log: s.Log, Drain: func() { s.draining.Store(true) },
	}
	s.client.Prepare()
	s.runner = &runner.Runner{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, Regions: s.Settings.severalRegions(), View: s.view,
		Connector: s.Servers, RequestRenewal: s.client.RequestRenewal, LearnedConcurrency: s.Settings.LearnedConcurrency,
		RoomForUrgentWork: s.Settings.RoomForUrgentWork,
		Metrics:           &s.metrics, Log: s.Log,
	}
	s.client.Reporter = s.runner
	s.client.Applied = s.runner.ApplyAllowances
	s.sessions = &sessions.Sessions{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, Incarnation: incarnation, View: s.view,
		Regions: s.Settings.severalRegions(), KeyLifetime: time.Duration(s.Settings.KeyLifetimeMilliseconds) * time.Millisecond,
		Local: s.runner, RecentlySuspended: s.runner.RecentlySuspended, Dialer: dialer, Metrics: &s.metrics, Log: s.Log,
	}
}

// reload applies the settings that may change while the daemon runs.
func (s *StatementServer) reload(next Settings) {
	s.client.SetAddresses(next.control())
	s.Log.WithField("seeds", next.Seeds).Info("settings reloaded")
}

// updateCloseIdle closes idle connections while this VM has lost contact with the control leader or
// other VMs, so that callers reconnect to another VM.
func (s *StatementServer) updateCloseIdle() {
	closeIdle := s.view.Version() > 0 && (s.view.ConfirmationAge() > sessions.ControlLossTimeout || s.view.Outdated() || s.sessions.Isolated())
	if closeIdle == s.closeIdle {
		return
	}
	s.closeIdle = closeIdle
	s.Log.WithFields(logrus.Fields{
		"away": closeIdle, "confirmed-ms-ago": s.view.ConfirmationAge().Milliseconds(), "callers": s.Callers.Connections(),
	}).Info("closing of idle caller connections changed")
	s.Callers.SetCloseIdle(closeIdle)
}

func (s *StatementServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(healthPath, s.health)
	mux.Handle(variablesPath, expvar.Handler())
	return mux
}

// health reports to the balancer whether this VM accepts callers.
func (s *StatementServer) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !s.view.Confirmed() || s.view.ConfirmationAge() > leaderSilenceLimit:
		http.Error(w, "the control leader is not heard", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// drain waits for requests under way: the health check fails first, and callers are accepted until
// the balancer has noticed; transactions may use half of the grace period.
func (s *StatementServer) drain() {
	began := time.Now()
	grace := time.Duration(s.Settings.GraceMilliseconds) * time.Millisecond
	if grace == 0 {
		grace = time.Minute
	}
	end := began.Add(grace - stopMargin)
	s.draining.Store(true)
	s.Log.WithFields(logrus.Fields{"callers": s.Callers.Connections(), "under-way": s.runner.InFlight()}).Info("draining started")
	s.client.SetDraining()
	time.Sleep(min(balancerDelay, time.Until(end)))
	_ = s.callers.Close()
	s.Callers.Drain(began.Add(grace / 2))
	for time.Now().Before(end) && (s.Callers.Connections() > 0 || s.runner.InFlight() > 0) {
		time.Sleep(drainPollInterval)
	}
	for deadline := time.Now().Add(handoverTimeout); time.Now().Before(deadline) && time.Now().Before(end) && len(s.view.LeasedGroups()) > 0; {
		time.Sleep(drainPollInterval)
	}
	s.Log.WithFields(logrus.Fields{
		"callers": s.Callers.Connections(), "under-way": s.runner.InFlight(), "took-ms": time.Since(began).Milliseconds(),
	}).Info("draining finished")
}

func (s *StatementServer) closeAll(server *http.Server) {
	_ = s.callers.Close()
	_ = s.links.Close()
	s.sessions.Close()
	if err := server.Close(); err != nil {
		s.Log.WithError(err).Debug("closing the HTTP server")
	}
}
