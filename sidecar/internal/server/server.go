// Package server is the sidecar itself: it takes proposals from entries, asks
// the gate, runs what is accepted and reports on its backend server.
//
// # Usage
//
//	s := server.New(server.Config{Settings: settings, Log: log})
//	err := s.Run(ctx)
package server

import (
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/framer"
	"bamboohill/core/generator"
	"bamboohill/core/keeper"
	"bamboohill/core/storer"
	"bamboohill/sidecar/internal/gatekeeper"
	"bamboohill/sidecar/internal/recorder"
	"bamboohill/sidecar/internal/reporter"
	"bamboohill/sidecar/internal/runner"
	"bamboohill/sidecar/internal/settings"
	"bamboohill/wire"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
)

// Bounds of the sidecar.
const (
	maxBody     = 64 << 20 // bytes of one payload
	statusEvery = 100 * time.Millisecond
	statusLimit = time.Second
	idleLimit   = time.Minute
)

// ProposalHeader carries the proposal, as base64 of its protobuf form.
const ProposalHeader = "Proposal"

// Config describes a Server.
type Config struct {
	Settings settings.Settings
	Log      *log.Logger
}

// Server is one sidecar.
type Server struct {
	config   Config
	boot     uint64
	engine   *generator.Engine
	runner   *runner.Runner
	recorder *recorder.Recorder
	keeper   *keeper.Keeper
	client   *http.Client
	leaving  atomic.Bool
	serial   atomic.Uint64

	mu     sync.Mutex
	gate   *gatekeeper.Gate
	status generator.Status
	alive  bool
}

// New returns a sidecar that does not run yet.
func New(config Config) *Server {
	set := config.Settings
	s := &Server{
		config: config,
		boot:   uint64(time.Now().UnixMicro()),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idleLimit}},
		gate:   gatekeeper.New(gatekeeper.Config{Cold: set.Gate.Cold, Warm: set.Gate.Warm}),
		keeper: keeper.New(keeper.Config{Table: storer.NewTable(storer.Config{Address: set.Platform.Table})}),
	}
	if set.Kind == settings.Model {
		s.engine = generator.New(generator.Config{Address: set.Backend})
	}
	s.runner = runner.New(runner.Config{Engine: s.engine, Service: set.Backend, Client: s.client})
	s.recorder = newRecorder(s)
	return s
}

// Run serves until the context ends, then leaves: it refuses new work, waits
// for what runs, at most the drain time, and returns.
func (s *Server) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.config.Settings.Address)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer s.keeper.Stop()
	defer s.recorder.Close()
	s.start(background)
	web := &http.Server{Handler: s.Handler(), ErrorLog: s.config.Log.Std("", 0)}
	go web.Serve(listener)
	s.config.Log.Info().Str("event", "listening").Str("address", s.config.Settings.Address).Msg("")
	<-ctx.Done()
	s.leaving.Store(true)
	drain, cancel := context.WithTimeout(background, time.Duration(s.config.Settings.Drain)*time.Millisecond)
	defer cancel()
	err = web.Shutdown(drain)
	s.recorder.Wait(drain)
	return err
}

func (s *Server) start(ctx context.Context) {
	set := s.config.Settings
	s.probe(ctx)
	s.keeper.Refresh(ctx)
	go s.loop(ctx, statusEvery, s.probe)
	go s.loop(ctx, time.Second, func(ctx context.Context) { s.keeper.Refresh(ctx) })
	go s.loop(ctx, sweepEvery, s.sweep)
	beats := reporter.New(reporter.Config{
		Entries: set.Entries, Every: time.Duration(set.Beat) * time.Millisecond, Client: s.client,
		Report: s.Report, Heard: func(reply *wire.BeatReply) { s.keeper.Heard(reply.GetSequence()) },
	})
	go beats.Run(ctx)
}

func (s *Server) loop(ctx context.Context, every time.Duration, do func(context.Context)) {
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

// probe asks the backend server how it is.
func (s *Server) probe(ctx context.Context) {
	if s.engine == nil {
		s.mu.Lock()
		s.alive = true
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	status, err := s.engine.Status(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive = err == nil
	if err != nil {
		return
	}
	if status.Boot != s.status.Boot || !status.Warm && s.status.Warm {
		s.gate.Fall()
	}
	s.status = status
}

// Handler returns the HTTP interface to entries.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /propose", s.propose)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.Handle(wire.GatePathPrefix, wire.NewGateServer(gate{s}))
	return mux
}

func (s *Server) propose(w http.ResponseWriter, q *http.Request) {
	p, err := decodeProposal(q.Header.Get(ProposalHeader))
	if err != nil {
		http.Error(w, "bad proposal", http.StatusBadRequest)
		return
	}
	flusher := http.NewResponseController(w)
	frames := framer.NewWriter(framer.WriterConfig{
		Request: p.GetRequest(), Attempt: p.GetAttempt(), Position: p.GetPosition(), Sink: w, Flush: func() { flusher.Flush() },
	})
	if s.keeper.Heard(p.GetSequence()) {
		s.keeper.Refresh(q.Context())
	}
	if refused := s.enter(p); refused != nil {
		refused.Report = s.Report()
		frames.Refuse(refused)
		return
	}
	refused := s.run(w, q, p, frames)
	s.leave(p.GetAttempt(), refused == nil)
	if refused != nil {
		refused.Report = s.Report()
		frames.Refuse(refused)
	}
}

func decodeProposal(text string) (*wire.Proposal, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	p := &wire.Proposal{}
	return p, proto.Unmarshal(data, p)
}

func (s *Server) run(w http.ResponseWriter, q *http.Request, p *wire.Proposal, frames *framer.Writer) *wire.Refused {
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(p.GetRemainingMs())*time.Millisecond)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		return &wire.Refused{Reason: wire.Reason_REASON_DENIED, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "payload broke off"}
	}
	frames.Accept(s.Report())
	if s.engine != nil {
		return s.runner.Model(ctx, p, body, frames, s.Report)
	}
	if p.GetCall() == wire.Call_CALL_ONCE {
		return s.once(ctx, p, body, frames)
	}
	return s.runner.Plain(ctx, p, body, frames, s.Report)
}

func (s *Server) enter(p *wire.Proposal) *wire.Refused {
	set := s.config.Settings
	state := s.keeper.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Enter(p, gatekeeper.Facts{
		Boot: s.boot, Sequence: state.Sequence, Out: state.Out(set.Domain, set.VM), Leaving: s.leaving.Load(),
		Alive: s.alive, Free: s.free(), Model: s.engine == nil || offers(s.status.Models, p),
	})
}

func (s *Server) leave(attempt string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Leave(attempt, finished)
}

// free returns the tokens that nobody reserved; a plain service has no bound.
func (s *Server) free() int64 {
	if s.engine == nil {
		return 1 << 62
	}
	return s.status.Memory - s.gate.Reserved()
}

func offers(models []generator.Model, p *wire.Proposal) bool {
	for _, m := range models {
		if m.Name == p.GetModel() && (p.GetVersion() == "" || m.Version == p.GetVersion()) {
			return true
		}
	}
	return false
}

// Report returns the newest report.
func (s *Server) Report() *wire.Report {
	set := s.config.Settings
	state := s.keeper.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &wire.Report{
		Server: set.Server, Vm: set.VM, Domain: set.Domain, Address: set.Address, Boot: s.boot, Serial: s.serial.Add(1),
		State: s.state(state.Out(set.Domain, set.VM)), Kind: wire.Kind_KIND_MODEL, Service: set.Service,
		Memory: s.status.Memory, Free: s.free(), Running: int32(s.gate.Running()), Limit: int32(s.gate.Limit()),
		Queued: s.status.Queued, Prefill: s.status.Prefill, Decode: s.status.Decode, Sequence: state.Sequence, Role: s.status.Role,
		Cold: s.gate.Limit() < set.Gate.Warm,
	}
	if set.Kind == settings.Service {
		r.Kind = wire.Kind_KIND_SERVICE
	}
	for _, m := range s.status.Models {
		r.Offers = append(r.Offers, &wire.Offer{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return r
}

func (s *Server) state(out bool) wire.State {
	switch {
	case s.leaving.Load():
		return wire.State_STATE_LEAVING
	case out:
		return wire.State_STATE_OUT
	case !s.alive:
		return wire.State_STATE_DOWN
	}
	return wire.State_STATE_OPEN
}
