// Package server is the server of an entry. It connects the request pipeline to
// the APIs for callers and operators and to the other processes.
//
// # Usage
//
//	s, err := server.New(server.Config{Settings: settings, Log: log})
//	err = s.Run(ctx)
package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"sync/atomic"
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/certifier"
	"bamboohill/core/chooser"
	"bamboohill/core/hinter"
	"bamboohill/core/keeper"
	"bamboohill/core/limiter"
	"bamboohill/core/pacer"
	"bamboohill/core/puller"
	"bamboohill/core/router"
	"bamboohill/core/screener"
	"bamboohill/core/storer"
	"bamboohill/core/tracer"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/administrator"
	"bamboohill/entry/internal/averager"
	"bamboohill/entry/internal/borrower"
	"bamboohill/entry/internal/dispatcher"
	"bamboohill/entry/internal/gangrunner"
	"bamboohill/entry/internal/gossiper"
	"bamboohill/entry/internal/listener"
	"bamboohill/entry/internal/placer"
	"bamboohill/entry/internal/proposer"
	"bamboohill/entry/internal/receiver"
	"bamboohill/entry/internal/registrar"
	"bamboohill/entry/internal/settings"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Limits of connections from other processes, and timeouts of a shutdown and of
// the publication of a crash suspect.
const (
	headerTimeout     = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
	finishTimeout     = 2 * time.Minute // default of Config.FinishTimeout
	accusationTimeout = 500 * time.Millisecond
)

// gossipShare is the share of an entry's control traffic that greetings may use.
const gossipShare = 0.3

// Shares of an entry's memory: for request bodies, and for the soft memory limit
// of the Go runtime, near which it collects garbage more often.
const (
	bodyShare        = 0.75
	memoryLimitShare = 0.9
)

// Config describes a Server.
type Config struct {
	Settings      settings.Settings
	Log           *log.Logger
	FinishTimeout time.Duration // for running requests to end after the grace period; 0 means 2 min
}

// Server is one entry.
type Server struct {
	config          Config
	boot            uint64
	peerCerts       *certifier.Store // for other processes; nil without TLS
	callerCerts     *certifier.Store // for callers and operators; nil without TLS
	table           storer.Table
	keeper          *keeper.Keeper
	watcher         *watcher.Watcher
	screener        *screener.Screener
	registrar       *registrar.Registrar
	gossiper        *gossiper.Gossiper
	placer          *placer.Placer
	demand          *averager.Averager
	borrower        *borrower.Borrower
	hinter          *hinter.Hinter
	listener        *listener.Listener
	pacer           *pacer.Pacer
	sidecars        *certifier.Peer // for callers' requests
	stopping        atomic.Bool
	callerHandler   http.Handler
	internalHandler http.Handler
	tracer          *tracer.Tracer
	callers         *receiver.Receiver
}

// New returns an entry that has not been started. It fails if the certificates
// can't be read or the tracer can't be created.
func New(config Config) (*Server, error) {
	set := config.Settings
	if config.FinishTimeout <= 0 {
		config.FinishTimeout = finishTimeout
	}
	s := &Server{config: config, boot: uint64(time.Now().UnixMicro())}
	var err error
	if s.peerCerts, err = set.TLS.Store(s.logReload); err != nil {
		return nil, err
	}
	if s.callerCerts, err = set.Front.Store(s.logReload); err != nil {
		return nil, err
	}
	s.table = storer.NewTable(storer.Config{Address: set.Platform.Table})
	s.watcher = watcher.New(watcher.Config{})
	s.screener = screener.New(screener.Config{})
	s.registrar = registrar.New(registrar.Config{})
	s.hinter = hinter.New(hinter.Config{})
	s.demand = averager.New(averager.Config{})
	s.listener = listener.New(listener.Config{OnReport: s.recordReport, Reply: s.newReply})
	s.pacer = pacer.New(pacer.Config{Budget: set.Control})
	s.setUpMembership()
	s.placer = s.newPlacer()
	if s.tracer, err = tracer.New(tracer.Config{Program: "entry", Exporter: set.Trace.Exporter, Endpoint: set.Trace.Endpoint}); err != nil {
		return nil, err
	}
	sidecars := certifier.NewPeer(s.peerCerts, certifier.Sidecar)
	s.sidecars = sidecars
	sidecars.Client.Transport = s.tracer.Transport("attempt", sidecars.Client.Transport)
	proposals := proposer.New(proposer.Config{Peer: sidecars})
	s.borrower = borrower.New(borrower.Config{
		Self: set.Advertise, Live: s.gossiper.Live, Borrow: s.gossiper.Borrow, Plan: s.plan,
		Backlog: func() time.Duration { return limiter.Backlog(s.watcher.View().Servers) },
	})
	d := dispatcher.New(dispatcher.Config{
		Limits: s.borrower,
		Gangs: gangrunner.New(gangrunner.Config{
			Client: gangrunner.SidecarClient{URL: sidecars.URL, Client: sidecars.Client},
			Propose: func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (gangrunner.Attempt, error) {
				return proposals.Propose(ctx, address, p, payload)
			},
		}),
		Chooser: chooser.New(chooser.Config{
			Picker:   router.New(router.Config{Hints: s.hinter, Seed: s.boot}),
			Admitter: admitter.New(admitter.Config{}),
		}),
		Watcher: s.watcher, Keeper: s.keeper, Entry: set.Advertise, Log: config.Log, Suspects: s.screener, PublishAccusation: s.publishAccusation,
		Propose: func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (dispatcher.Attempt, error) {
			if p.GetModel() != "" {
				s.placer.RecordRequest(p.GetModel(), p.GetVersion(), p.GetPrompt()+p.GetAnswer())
			}
			return proposals.Propose(ctx, address, p, payload)
		},
	})
	callers := receiver.New(receiver.Config{
		Keeper: s.keeper, Dispatcher: d, Log: config.Log, MaxBody: set.Bounds.Body, MaxMemory: int64(bodyShare * float64(set.Bounds.Memory)),
		DefaultTimeout: time.Duration(set.Bounds.Timeout) * time.Millisecond,
	})
	admin := administrator.New(administrator.Config{
		Keeper: s.keeper, Watcher: s.watcher, Gossiper: s.gossiper, Operators: set.Operators, Log: config.Log,
	})
	s.callers = callers
	s.callerHandler = s.newCallerHandler(s.tracer.Handler("request", callers.Handler(), receiver.RequestHeader, receiver.OutcomeHeader), admin.Handler())
	s.internalHandler = s.newInternalHandler()
	return s, nil
}

// setUpMembership creates the keeper of the configuration and the gossiper, which
// depend on each other.
func (s *Server) setUpMembership() {
	set := s.config.Settings
	entries := certifier.NewPeer(s.peerCerts, certifier.Entry)
	config := keeper.Config{
		Table: s.table,
		Peers: puller.New(puller.Config{Addresses: func() []string { return s.gossiper.Known() }, Self: set.Advertise, Peer: entries}),
		Changed: func(state *keeper.State) {
			s.config.Log.Info().Str("event", "configuration").Uint64("sequence", state.Sequence).Msg("")
			s.registrar.Pardon(s.screener.Pardon(state))
			s.gossiper.TriggerPush()
		},
	}
	if set.Platform.Objects != "" {
		config.Objects = storer.NewObjects(storer.Config{Address: set.Platform.Objects})
	}
	s.keeper = keeper.New(config)
	membership := gossiper.Config{
		Address: set.Advertise, Boot: s.boot, Seeds: set.Entries, Keeper: s.keeper, Watcher: s.watcher, Log: s.config.Log,
		OnAccusation: func(a *wire.Accusation) { s.screener.Record(a) },
		Lend: func(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
			return s.borrower.Lend(ctx, q)
		},
		Demand: s.demand, DirectPush: s.listener.Push, BytesPerSecond: int(gossipShare * float64(set.Control)), Entries: entries,
		Sidecars: certifier.NewPeer(s.peerCerts, certifier.Sidecar),
	}
	if set.Platform.List != "" {
		membership.List = storer.NewVMs(storer.Config{Address: set.Platform.List})
	}
	s.gossiper = gossiper.New(membership)
}

// plan returns the plan of an account in the active configuration, nil if there
// is none.
func (s *Server) plan(account string) *wire.Plan {
	state := s.keeper.State()
	a := state.Account(account)
	if a == nil {
		return nil
	}
	return state.Plan(a.GetPlan())
}

// publishAccusation reports a crash suspect to the other entries.
func (s *Server) publishAccusation(a *wire.Accusation) {
	ctx, cancel := context.WithTimeout(context.Background(), accusationTimeout)
	defer cancel()
	s.gossiper.PublishAccusation(ctx, a)
}

// logReload logs that certificate files were reloaded, or why that failed.
func (s *Server) logReload(err error) {
	s.config.Log.Info().Str("event", "certificates").Err(err).Msg("")
}

func (s *Server) newCallerHandler(callers, admin http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/", admin)
	mux.Handle("/", callers)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	return mux
}

func (s *Server) newInternalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.HeartbeatsPathPrefix, wire.NewHeartbeatsServer(heartbeats{s}))
	mux.Handle(wire.PeersPathPrefix, s.gossiper.Handler())
	mux.Handle(wire.ClaimsPathPrefix, s.registrar.Handler())
	mux.HandleFunc("GET /debug/vars", s.serveVars)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.keeper.Ready() || !s.gossiper.Joined() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Run serves until the context ends and then shuts down, see stop.
func (s *Server) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer s.tracer.Stop(background)
	defer s.keeper.Stop()
	defer s.watcher.Stop()
	set := s.config.Settings
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(set.Bounds.Memory)))
	callers := s.newHTTPServer(s.closeWhenStopping(s.callerHandler))
	connections := receiver.LimitConnections(callers, set.Bounds.Connections)
	callerServer, err := s.listen(ctx, set.Address, callers, s.callerCerts)
	if err != nil {
		return err
	}
	internalServer, err := s.listen(ctx, set.Inner, s.newHTTPServer(s.internalHandler), s.peerCerts, certifier.Entry, certifier.Sidecar)
	if err != nil {
		return err
	}
	datagrams, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", set.Inner)
	if err != nil {
		return err
	}
	defer datagrams.Close()
	go s.listener.Serve(datagrams)
	go s.paceHeartbeats(background)
	go s.gossiper.Run(background)
	go s.placer.Run(background)
	go s.borrower.Run(background)
	go s.keeper.Poll(background, time.Duration(s.config.Settings.Poll)*time.Millisecond, s.newPollLogger())
	for _, c := range []*certifier.Store{s.peerCerts, s.callerCerts} {
		go c.Watch(background)
	}
	<-ctx.Done()
	err = s.stop(background, callerServer, connections)
	internalServer.Close()
	return err
}

func (s *Server) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: s.config.Log.Std("", 0),
	}
}

func (s *Server) listen(
	ctx context.Context, address string, web *http.Server, certs *certifier.Store, roles ...string,
) (*http.Server, error) {
	listener, err := certs.Listen(ctx, address, roles...)
	if err != nil {
		return nil, err
	}
	go web.Serve(listener)
	s.config.Log.Info().Str("event", "listening").Str("address", address).Msg("")
	return web, nil
}
