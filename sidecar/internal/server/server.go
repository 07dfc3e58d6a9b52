// Package server is the sidecar itself: it takes proposals from entries, asks
// the gate, runs what is accepted and reports on its backend server.
//
// Its state is split by owner: the gate (package gatekeeper), what the engine
// last said of itself (engine.go), the attempts under way (attempts.go) and
// whether the backend server is leaving (leaving.go).
//
// # Usage
//
//	s := server.New(server.Config{Settings: settings, Log: log})
//	err := s.Run(ctx)
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

// Bounds of the sidecar.
const (
	maxBody            = 64 << 20 // bytes of one payload
	statusInterval     = 100 * time.Millisecond
	statusTimeout      = time.Second
	lowContactInterval = time.Second      // of the table service while hardly any entry replies
	pollInterval       = 30 * time.Second // of the table service; changes come by push and heartbeat
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
	certs          *certifier.Store // towards entries, nil if plain
	peer           *certifier.Peer
	serial         atomic.Uint64
	gate           *gatekeeper.Gate
	engine         *engine // nil beside a plain service
	attempts       *attempts
	collector      *hinter.Collector // of the prefix cache
	leaving        leaving
	desired        *announcedRevision
	screener       *screener.Screener
	homes          homeSelector // of requests
	recordingCrash sync.Mutex   // held while entries are told of a crash
	runner         *runner.Runner
	recorder       *recorder.Recorder
	keeper         *keeper.Keeper
	reporter       *reporter.Reporter
	datagrams      net.PacketConn // towards entries
	list           *storer.VMs    // nil if not set
	client         *http.Client
	counts         counts
	tracer         *tracer.Tracer
}

// counts is what the sidecar shows of itself at /debug/vars.
type counts struct {
	proposals       expvar.Int
	refusals        expvar.Map // by reason
	freed           expvar.Int // tokens freed that no live request owned
	orphaned        expvar.Int // tokens held now for no live request
	lost            expvar.Int // attempts that the engine did not know
	crashes         expvar.Int // deaths of the engine seen
	migrated        expvar.Int // streams handed over
	slowFirstTokens expvar.Int // first tokens taken for a sign of a cold start
	unclaimed       expvar.Int // attempts run though no home could be asked
}

// New returns a sidecar that does not run yet. The error is that of reading
// the certificates.
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
		client:    newClient(spans.Transport("backend", &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idleTimeout})),
		gate:      gatekeeper.New(gatekeeper.Config{ColdLimit: set.Gate.Cold, WarmLimit: set.Gate.Warm}),
		attempts:  newAttempts(),
		collector: hinter.NewCollector(),
		desired:   newAnnouncedRevision(),
		screener:  screener.New(screener.Config{}),
	}
	if set.Platform.List != "" {
		s.list = storer.NewVMs(storer.Config{Address: set.Platform.List})
	}
	run := runner.Config{Service: set.Backend, Client: s.client}
	if set.Kind == settings.Model {
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
		Entries: set.Entries, Every: time.Duration(set.Beat) * time.Millisecond, Report: s.Report, Events: s.collector.FillReport,
		Heard: s.onHeartbeatReply, Acked: s.onAck, Push: s.applyPush, Peer: s.peer, Conn: s.datagrams,
	})
	s.keeper = keeper.New(s.configuration())
	return s, nil
}

// configuration says where the configuration comes from: from entries first,
// since sidecars are too many to read the table service for each change.
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

// hasLowContact reports whether fewer than two entries reply to heartbeats: the one
// that does may itself be cut off.
func (s *Server) hasLowContact() bool { return s.reporter.Answered() < 2 }

// refreshIfLowContact reads the configuration often while hardly any entry replies.
func (s *Server) refreshIfLowContact(ctx context.Context) {
	if s.hasLowContact() {
		s.keeper.Refresh(ctx)
	}
}

// catchUp brings this sidecar to a sequence number that an entry has in force,
// within a bound.
func (s *Server) catchUp(sequence uint64, entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s.keeper.CatchUp(ctx, sequence, entry)
}

// Run serves until the context ends, then leaves; see leave.
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

// start begins the sidecar's own work. Beside an engine the gate stays shut
// until the first audit, which frees what an earlier sidecar left there.
func (s *Server) start(ctx context.Context) {
	go s.certs.Watch(ctx)
	go s.keeper.Poll(ctx, pollInterval, nil)
	if s.engine != nil {
		s.engine.refresh(ctx)
		s.freeLeftovers(ctx)
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

func loop(ctx context.Context, every time.Duration, do func(context.Context)) {
	t := time.NewTicker(every)
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

// Handler returns the HTTP interface to entries.
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

// serveReady says whether proposals can be taken.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.keeper.Ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// serveVars shows the sidecar's own counts; expvar's global page would mix
// those of several sidecars in one test process.
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
	s.recorderVars(m)
	w.Header().Set("Content-Type", "application/json")
	io.WriteString(w, m.String()+"\n")
}
