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

	"trefoilcourse/entry/control"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/runner"
	"trefoilcourse/entry/sessions"
	"trefoilcourse/wire/protorpc"
)

const (
	metricsPath = "/metrics"
	// rotationDelay is how long a balancer may go on sending callers after the health answer has
	// turned bad: it asks each second and wants two bad answers.
	rotationDelay = 2200 * time.Millisecond
	// stopMargin is what is left of the grace when the daemon ends by itself.
	stopMargin = 500 * time.Millisecond
	// unheard is how long a VM may hear no control leader and look healthy: longer than between two
	// renewals. A balancer wants two bad answers, so that a change of leaders moves no callers.
	unheard = 700 * time.Millisecond
	// touchInterval is how often that is looked at.
	touchInterval = 250 * time.Millisecond
)

// CallerServer serves callers in a protocol of its own.
type CallerServer interface {
	// Run serves callers until ctx ends and every connection is closed.
	Run(ctx context.Context, listener net.Listener, s *sessions.Sessions) error
	// Drain closes each connection as soon as nothing is under way on it; transactions may go on
	// until the deadline.
	Drain(deadline time.Time)
	// SetCloseIdle says whether connections on which nothing is under way are closed.
	SetCloseIdle(away bool)
	// Connections returns the number of connections.
	Connections() int
}

// StatementServer is an entry VM for announced groups, whose callers and servers speak a protocol
// that is given to it; set the exported fields before Run.
type StatementServer struct {
	// Settings are the VM's own.
	Settings Settings
	// Callers and Servers speak the protocol.
	Callers CallerServer
	Servers runner.Servers
	// Dialer opens connections to the system's other processes.
	Dialer protorpc.Dialer
	// Listen opens listeners; nil means plain TCP.
	Listen func(address string) (net.Listener, error)
	// Reload delivers changed settings.
	Reload <-chan Settings
	// Log receives decisions; nil means the standard logger.
	Log logrus.FieldLogger

	metrics  metrics.Metrics
	view     *view.View
	client   *control.Client
	runner   *runner.Runner
	sessions *sessions.Sessions
	draining atomic.Bool
	away     bool
	callers  net.Listener
	links    net.Listener
	http     net.Listener
	// metricsAt is nil if the settings name no address for counters.
	metricsAt net.Listener
}

// Run serves until ctx ends and what was under way has ended or the grace has, or until a
// listener fails.
func (s *StatementServer) Run(ctx context.Context) error {
	if err := s.Settings.Check(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.listen(); err != nil {
		return trace.Wrap(err)
	}
	s.build()
	s.Log.WithFields(logrus.Fields{"failure-domain": s.Settings.FailureDomain, "seeds": s.Settings.Seeds}).Info("starts")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: httpTimeout}
	parts := []func() error{
		func() error { return s.runner.Run(work) },
		func() error { return s.client.Run(work) },
		func() error { return sessions.Serve(work, s.links, s.runner) },
		func() error { return s.Callers.Run(work, s.callers, s.sessions) },
		func() error { return server.Serve(s.http) },
	}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- part() }()
	}
	if s.metricsAt != nil {
		mux := http.NewServeMux()
		mux.HandleFunc(metricsPath, metrics.Text)
		mux.Handle(variablesPath, expvar.Handler())
		counters := &http.Server{Handler: mux, ReadHeaderTimeout: httpTimeout}
		context.AfterFunc(work, func() { _ = counters.Close() })
		// Without counters the VM still serves; their end is not its end.
		go func() { s.Log.WithError(counters.Serve(s.metricsAt)).Info("counters are served no more") }()
	}
	running := len(parts)
	touch := time.NewTicker(touchInterval)
	defer touch.Stop()
	var err error
	for stop := false; !stop; {
		select {
		case <-ctx.Done():
			s.drain()
			stop = true
		case next := <-s.Reload:
			s.reload(next)
		case <-touch.C:
			s.sendAway()
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
	s.Log.WithError(err).Info("stops")
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
	if s.Settings.Metrics == "" {
		return nil
	}
	opened, err := open(s.Settings.Metrics)
	s.metricsAt = opened
	return err
}

func (s *StatementServer) build() {
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	s.Log = s.Log.WithField("vm", s.Settings.VM)
	life := newIncarnation()
	s.metrics.Life.Set(life)
	s.metrics.Publish("trefoil-entry-" + s.Settings.VM)
	s.view = view.New()
	dialer := orPlain(s.Dialer)
	s.client = &control.Client{
		VM: s.Settings.VM, Incarnation: life, FailureDomain: s.Settings.FailureDomain,
		LinkAddress: s.Settings.Links, Capacity: s.Settings.capacity(), Addresses: s.Settings.control(), Dialer: dialer,
		View: s.view, Traffic: &protorpc.Traffic{}, Log: s.Log, Drain: func() { s.draining.Store(true) },
	}
	s.client.Prepare()
	s.runner = &runner.Runner{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, View: s.view,
		Servers: s.Servers, Poke: s.client.RequestRenewal, Metrics: &s.metrics, Log: s.Log,
	}
	s.client.Reporter = s.runner
	s.sessions = &sessions.Sessions{
		VM: s.Settings.VM, FailureDomain: s.Settings.FailureDomain, Life: life, View: s.view,
		Local: s.runner, Woke: s.runner.Woke, Dialer: dialer, Metrics: &s.metrics, Log: s.Log,
	}
}

// reload takes over what may change while the daemon runs.
func (s *StatementServer) reload(next Settings) {
	s.client.SetAddresses(next.control())
	s.Log.WithField("seeds", next.Seeds).Info("reloads its settings")
}

// sendAway closes the sessions on which nothing is under way once this VM is out of touch, so
// that callers come back to another one.
func (s *StatementServer) sendAway() {
	away := s.view.Version() > 0 && (s.view.Age() > sessions.OutOfTouch || s.view.Outdated() || s.sessions.CutOff())
	if away == s.away {
		return
	}
	s.away = away
	s.Log.WithFields(logrus.Fields{
		"away": away, "confirmed-ms-ago": s.view.Age().Milliseconds(), "callers": s.Callers.Connections(),
	}).Info("whether callers are sent away changes")
	s.Callers.SetCloseIdle(away)
}

func (s *StatementServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(healthPath, s.health)
	mux.Handle(variablesPath, expvar.Handler())
	return mux
}

// health tells the balancer whether this VM takes callers.
func (s *StatementServer) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !s.view.Confirmed() || s.view.Age() > unheard:
		http.Error(w, "the control leader is not heard", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// drain lets what is under way end: the balancer is told first, and callers may come until it
// has noticed; transactions have half of the grace.
func (s *StatementServer) drain() {
	began := time.Now()
	grace := time.Duration(s.Settings.GraceMilliseconds) * time.Millisecond
	if grace == 0 {
		grace = time.Minute
	}
	end := began.Add(grace - stopMargin)
	s.draining.Store(true)
	s.Log.WithFields(logrus.Fields{"callers": s.Callers.Connections(), "under-way": s.runner.Running()}).Info("drains")
	s.client.SetDraining()
	time.Sleep(min(rotationDelay, time.Until(end)))
	_ = s.callers.Close()
	s.Callers.Drain(began.Add(grace / 2))
	for time.Now().Before(end) && (s.Callers.Connections() > 0 || s.runner.Running() > 0) {
		time.Sleep(drainPoll)
	}
	for deadline := time.Now().Add(handOverPause); time.Now().Before(deadline) && time.Now().Before(end) && len(s.view.Held()) > 0; {
		time.Sleep(drainPoll)
	}
	s.Log.WithFields(logrus.Fields{
		"callers": s.Callers.Connections(), "under-way": s.runner.Running(), "took-ms": time.Since(began).Milliseconds(),
	}).Info("has drained")
}

func (s *StatementServer) closeAll(server *http.Server) {
	_ = s.callers.Close()
	_ = s.links.Close()
	s.sessions.Close()
	if err := server.Close(); err != nil {
		s.Log.WithError(err).Debug("closing the HTTP server")
	}
}
