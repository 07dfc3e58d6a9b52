// Package server is the entry itself: it joins the pipeline of a request to
// the callers' and operators' interfaces and to the other processes.
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
	"sync/atomic"
	"time"

	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/administrator"
	"bamboohill/entry/internal/dispatcher"
	"bamboohill/entry/internal/proposer"
	"bamboohill/entry/internal/receiver"
	"bamboohill/entry/internal/settings"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Bounds of the callers' connections.
const (
	headerLimit = 10 * time.Second
	headerBytes = 64 << 10
	idleLimit   = 2 * time.Minute
	stopLimit   = 2 * time.Minute
)

// Config describes a Server.
type Config struct {
	Settings settings.Settings
	Log      *log.Logger
}

// Server is one entry.
type Server struct {
	config  Config
	boot    uint64
	table   storer.Table
	keeper  *keeper.Keeper
	watcher *watcher.Watcher
	ready   atomic.Bool
	outer   http.Handler
	inner   http.Handler
}

// New returns an entry that does not run yet.
func New(config Config) *Server {
	set := config.Settings
	s := &Server{config: config, boot: uint64(time.Now().UnixMicro())}
	s.table = storer.NewTable(storer.Config{Address: set.Platform.Table})
	s.keeper = keeper.New(keeper.Config{Table: s.table})
	s.watcher = watcher.New(watcher.Config{})
	proposals := proposer.New(proposer.Config{})
	d := dispatcher.New(dispatcher.Config{
		Watcher: s.watcher, Keeper: s.keeper, Entry: set.Inner, Log: config.Log,
		Propose: func(ctx context.Context, address string, p *wire.Proposal, payload []byte) (dispatcher.Attempt, error) {
			return proposals.Propose(ctx, address, p, payload)
		},
	})
	calls := receiver.New(receiver.Config{
		Keeper: s.keeper, Dispatcher: d, Log: config.Log, Body: set.Bounds.Body, Memory: set.Bounds.Memory,
		Timeout: time.Duration(set.Bounds.Timeout) * time.Millisecond,
	})
	admin := administrator.New(administrator.Config{
		Keeper: s.keeper, Watcher: s.watcher, Table: s.table, Operators: set.Operators, Log: config.Log,
	})
	s.outer = s.route(calls.Handler(), admin.Handler())
	s.inner = s.routeInner()
	return s
}

func (s *Server) route(calls, admin http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/", admin)
	mux.Handle("/", calls)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	return mux
}

func (s *Server) routeInner() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.HeartbeatsPathPrefix, wire.NewHeartbeatsServer(beats{s}))
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// Run serves until the context ends, then stops: not ready, no new
// connections, and every request in hand to its end.
func (s *Server) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer s.keeper.Stop()
	defer s.watcher.Stop()
	outer, err := s.listen(ctx, s.config.Settings.Address, s.outer)
	if err != nil {
		return err
	}
	inner, err := s.listen(ctx, s.config.Settings.Inner, s.inner)
	if err != nil {
		return err
	}
	go s.poll(background)
	<-ctx.Done()
	s.ready.Store(false)
	last, cancel := context.WithTimeout(background, stopLimit)
	defer cancel()
	err = outer.Shutdown(last)
	inner.Close()
	return err
}

func (s *Server) listen(ctx context.Context, address string, handler http.Handler) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	web := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerLimit, MaxHeaderBytes: headerBytes, IdleTimeout: idleLimit,
		ErrorLog: s.config.Log.Std("", 0),
	}
	go web.Serve(listener)
	s.config.Log.Info().Str("event", "listening").Str("address", address).Msg("")
	return web, nil
}

// poll reads the configuration's head until the context ends.
func (s *Server) poll(ctx context.Context) {
	t := time.NewTicker(time.Duration(s.config.Settings.Poll) * time.Millisecond)
	defer t.Stop()
	for {
		if err := s.keeper.Refresh(ctx); err == nil {
			s.ready.Store(ctx.Err() == nil)
		}
		s.watcher.Tick()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// beats serves the calls of wire.Heartbeats.
type beats struct {
	s *Server
}

// Beat implements wire.Heartbeats.
func (b beats) Beat(_ context.Context, report *wire.Report) (*wire.BeatReply, error) {
	b.s.watcher.Hear(report)
	set := b.s.config.Settings
	return &wire.BeatReply{Sequence: b.s.keeper.State().Sequence, Entries: append([]string{set.Inner}, set.Entries...)}, nil
}
