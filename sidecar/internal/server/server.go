// Package server is the sidecar itself: it receives proposals from entries,
// admits or refuses them, runs the admitted ones on its backend server and
// reports the state of the backend server to the entries.
//
// Its state is split by owner: the gate (package gatekeeper), the last status of
// the engine (engine.go), the running attempts (attempts.go) and whether the
// backend server is leaving (leaving.go).
//
// # Usage
//
//	s, err := server.New(server.Config{Settings: settings, Log: log})
//	...
//	err = s.Run(ctx)
package server

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/generator"
	"bamboohill/core/hinter"
	"bamboohill/core/keeper"
	"bamboohill/core/puller"
	"bamboohill/core/screener"
	"bamboohill/core/storer"
	"bamboohill/core/tracer"
	"bamboohill/sidecar/internal/gatekeeper"
	"bamboohill/sidecar/internal/recorder"
	"bamboohill/sidecar/internal/reporter"
	"bamboohill/sidecar/internal/runner"
	"bamboohill/sidecar/internal/settings"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Limits, intervals and timeouts of the sidecar.
const (
	maxBody            = 64 << 20 // bytes of a request body
	statusInterval     = 100 * time.Millisecond
	statusTimeout      = time.Second
	lowContactInterval = time.Second      // between reads of the table service while fewer than two entries reply
	pollInterval       = 30 * time.Second // between reads of the table service; changes arrive by push and heartbeat
	idleTimeout        = time.Minute
)

// Config describes a Server.
type Config struct {
	Settings settings.Settings
	Log      *log.Logger
}

// Server is one sidecar.
type Server struct {
	config         Config
	boot           uint64
	certs          *certifier.Store // for connections with entries, nil without TLS
	peer           *certifier.Peer
	serial         atomic.Uint64
	gate           *gatekeeper.Gate
	engine         *engine // nil if the backend server is a plain service
	attempts       *attempts
	collector      *hinter.Collector // collects the prefix cache events for reports
	leaving        leaving
	desired        *announcedRevision
	screener       *screener.Screener
	homes          homeSelector // selects the home entries of requests
	recordingCrash sync.Mutex   // held while a crash is recorded and its accusations are sent to the entries
	runner         *runner.Runner
	recorder       *recorder.Recorder
	keeper         *keeper.Keeper
	reporter       *reporter.Reporter
	datagrams      net.PacketConn // to and from entries
	list           *storer.VMs    // VM list of the platform, nil if none is configured
	client         *http.Client
	counts         counts
	tracer         *tracer.Tracer
}

// counts holds the counters that the sidecar exports at /debug/vars.
type counts struct {
	proposals         expvar.Int
	refusals          expvar.Map // by reason
	freed             expvar.Int // tokens of orphaned allocations that audits had the engine free
	orphaned          expvar.Int // tokens of orphaned allocations at the last audit
	lost              expvar.Int // attempts that were missing in the engine
	crashes           expvar.Int // detected crashes of the engine
	migrated          expvar.Int // streams exported for another backend server
	slowFirstTokens   expvar.Int // first tokens so late that they are a sign of a cold start
	invalidStatements expvar.Int // values of the backend server's statements that can't be used
	unclaimed         expvar.Int // attempts that ran without a claim because no home entry replied
}

// New returns a sidecar that does not run yet. It returns an error if it can't
// read the certificates, create the trace exporter or open the UDP port.
func New(config Config) (*Server, error) {
	set := config.Settings
	certs, err := set.TLS.Store(func(err error) { config.Log.Info().Str("event", "certificates").Err(err).Msg("") })
	if err != nil {
		return nil, err
	}
	spans, err := tracer.New(tracer.Config{Program: "sidecar", Exporter: set.Trace.Exporter, Endpoint: set.Trace.Endpoint})
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:    config,
		tracer:    spans,
		certs:     certs,
		peer:      certifier.NewPeer(certs, certifier.Entry),
		boot:      uint64(time.Now().UnixMicro()),
		gate:      gatekeeper.New(gatekeeper.Config{ColdLimit: set.Limits.ColdRequests, WarmLimit: set.Limits.WarmRequests}),
		attempts:  newAttempts(),
		collector: hinter.NewCollector(),
		desired:   newAnnouncedRevision(),
		screener:  screener.New(screener.Config{}),
	}
	backend := spans.Transport("backend", newTransport(set.Kind, idleTimeout))
	s.client = newClient(hearer{next: backend, server: s})
	if set.Platform.List != "" {
		s.list = storer.NewVMs(storer.Config{Address: set.Platform.List})
	}
	run := runner.Config{Service: set.Backend, Client: s.client}
	if set.Kind == settings.KindModel {
		port := generator.New(generator.Config{Address: set.Backend, Client: s.client})
		s.engine = newEngine(port, s.applyStatus)
		run.Engine = port
	} else {
		s.gate.SetWarm(true)
	}
	s.runner = runner.New(run)
	s.recorder = newRecorder(s)
	if s.datagrams, err = listenDatagrams(set.Address); err != nil {
		return nil, err
	}
	s.reporter = reporter.New(reporter.Config{
		Entries: set.Entries, Interval: time.Duration(set.HeartbeatMillis) * time.Millisecond, Report: s.Report, AddEvents: s.collector.FillReport,
		OnReply: s.onHeartbeatReply, OnAck: s.onAck, OnPush: s.applyPush, Peer: s.peer, Conn: s.datagrams,
	})
	s.keeper = keeper.New(s.configuration())
	return s, nil
}

// configuration returns the sources of the configuration: entries come first,
// since there are too many sidecars for each to read the table service on every
// change.
func (s *Server) configuration() keeper.Config {
	set := s.config.Settings
	config := keeper.Config{
		Table: storer.NewTable(storer.Config{Address: set.Platform.Table}), Changed: func(state *keeper.State) { s.screener.Pardon(state) },
		Peers: puller.New(puller.Config{Addresses: s.reporter.Known, Peer: s.peer}),
	}
	if set.Platform.Objects != "" {
		config.Objects = storer.NewObjects(storer.Config{Address: set.Platform.Objects})
	}
	return config
}

// hasLowContact reports whether fewer than two entries reply to heartbeats. A
// single one is not enough, since it may itself be partitioned.
func (s *Server) hasLowContact() bool { return s.reporter.Reachable() < 2 }

// refreshIfLowContact reads the configuration from the table service if fewer
// than two entries reply.
func (s *Server) refreshIfLowContact(ctx context.Context) {
	if s.hasLowContact() {
		s.keeper.Refresh(ctx)
	}
}

// catchUp reads the configuration up to the sequence number of an entry, within
// a timeout.
func (s *Server) catchUp(sequence uint64, entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s.keeper.CatchUp(ctx, sequence, entry)
}

// Run serves until the context ends, then shuts down; see shutDown.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.certs.Listen(ctx, s.config.Settings.Address, certifier.Entry)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer s.tracer.Stop(background)
	defer s.datagrams.Close()
	defer s.keeper.Stop()
	defer s.recorder.Close()
	s.start(background)
	web := &http.Server{Handler: s.Handler(), ErrorLog: s.config.Log.Std("", 0)}
	go web.Serve(listener)
	s.config.Log.Info().Str("event", "listening").Str("address", s.config.Settings.Address).Msg("")
	<-ctx.Done()
	return s.shutDown(background, web)
}

// start starts the background work. A sidecar of an engine refuses everything
// until the first audit, which frees what an earlier sidecar left in the engine.
func (s *Server) start(ctx context.Context) {
	go s.certs.Watch(ctx)
	go s.keeper.Poll(ctx, pollInterval, nil)
	if s.engine != nil {
		s.engine.refresh(ctx)
		s.recover(ctx)
		go loop(ctx, statusInterval, func(ctx context.Context) { s.engine.refresh(ctx) })
		go loop(ctx, auditInterval, s.audit)
		go s.converge(ctx)
		go loop(ctx, eventsInterval, s.readEvents)
	}
	go loop(ctx, statusInterval, s.checkLeaving)
	go loop(ctx, statusInterval, func(context.Context) { s.attempts.cancel(s.gate.Expire(time.Now())) })
	go loop(ctx, lowContactInterval, s.refreshIfLowContact)
	go loop(ctx, time.Second, s.readList)
	if s.engine == nil {
		go s.sweep(ctx)
		go s.share(ctx)
	}
	go s.reporter.Run(ctx)
}

// loop calls do at an interval until the context ends.
func loop(ctx context.Context, interval time.Duration, do func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do(ctx)
		}
	}
}

// Handler returns the HTTP handler for entries and operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /propose", s.tracer.Handler("gate", http.HandlerFunc(s.propose)))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /debug/vars", s.serveVars)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle(wire.GatePathPrefix, wire.NewGateServer(gateService{s}))
	return mux
}

// serveReady responds with status 503 until a configuration is loaded.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.keeper.Ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// serveVars responds with the counters of this sidecar. The global page of
// expvar would mix those of several sidecars in one test process.
func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	m := new(expvar.Map).Init()
	bytes := new(expvar.Int)
	bytes.Set(certifier.InternalBytes())
	m.Set("inner_bytes", bytes)
	m.Set("proposals", &s.counts.proposals)
	m.Set("refusals", &s.counts.refusals)
	m.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	m.Set("memory_mended", &s.counts.freed)
	m.Set("memory_strange", &s.counts.orphaned)
	m.Set("attempts_lost", &s.counts.lost)
	m.Set("engine_crashes", &s.counts.crashes)
	m.Set("streams_moved", &s.counts.migrated)
	m.Set("cold_by_first_token", &s.counts.slowFirstTokens)
	s.reporterVars(m)
	m.Set("unclaimed", &s.counts.unclaimed)
	m.Set("invalid_statements", &s.counts.invalidStatements)
	s.recorderVars(m)
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, m.String()+"\n")
}
