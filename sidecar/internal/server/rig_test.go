package server

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboohill/core/framer"
	"bamboohill/core/generator"
	"bamboohill/core/identifier"
	"bamboohill/core/screener"
	"bamboohill/core/storer"
	"bamboohill/sidecar/internal/settings"
	"bamboohill/standin/modelserver"
	"bamboohill/standin/transactor"
	"bamboohill/wire"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
)

// rig is a stand-in engine with its sidecar, both in this process.
type rig struct {
	t       testing.TB
	engine  *modelserver.Engine
	port    *generator.Engine
	backend *httptest.Server
	table   *httptest.Server
	name    string // of the backend server
	list    string // address of the VM list, none if empty
	beat    int    // milliseconds between heartbeats, 50 if 0
	entry   *peer
	server  *Server
	web     *httptest.Server
	stop    context.CancelFunc
}

// peer is a stand-in for the entries: it receives heartbeats, accusations and
// claims.
type peer struct {
	wire.Peers
	claims  *homeEntry
	mu      sync.Mutex
	accused []*wire.Accusation
	reports []*wire.Report
	entries []*screener.Screener // the suspects that each entry knows
}

func (p *peer) Accuse(_ context.Context, a *wire.Accusation) (*wire.AccuseReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accused = append(p.accused, a)
	for _, e := range p.entries {
		e.Record(a)
	}
	return &wire.AccuseReply{}, nil
}

func (p *peer) Beat(_ context.Context, r *wire.Report) (*wire.BeatReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, r)
	reply := &wire.BeatReply{}
	for _, e := range p.entries {
		reply.Suspects = append(reply.Suspects, e.Accusations()...)
	}
	return reply, nil
}

func (p *peer) accusations() []*wire.Accusation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*wire.Accusation(nil), p.accused...)
}

func (p *peer) beats() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reports)
}

// last returns the newest heartbeat.
func (p *peer) last() *wire.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reports[len(p.reports)-1]
}

// accusedRequests returns the number of requests that accusations named. The
// sidecar repeats an accusation with each heartbeat until an entry's reply
// contains it.
func (p *peer) accusedRequests() int {
	requests := map[string]bool{}
	for _, a := range p.accusations() {
		requests[a.GetFingerprint()] = true
	}
	return len(requests)
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// newRig starts an engine and its sidecar.
func newRig(t testing.TB, config modelserver.Config) *rig { return newNamedRig(t, "m0", config, nil) }

// newNamedRig starts an engine of the given name and its sidecar. entries holds
// the screener of each entry.
func newNamedRig(t testing.TB, name string, config modelserver.Config, entries []*screener.Screener) *rig {
	t.Helper()
	r := &rig{t: t, name: name, engine: modelserver.New(config), entry: &peer{entries: entries, claims: newHomeEntry()}}
	r.backend = httptest.NewServer(r.engine.Faults.Wrap(r.engine.Handler()))
	r.backend.Config.ErrorLog = quiet().Std("", 0)
	table := transactor.New()
	r.table = httptest.NewServer(table.Faults.Wrap(table.Handler()))
	mux := http.NewServeMux()
	mux.Handle(wire.HeartbeatsPathPrefix, wire.NewHeartbeatsServer(r.entry))
	mux.Handle(wire.PeersPathPrefix, wire.NewPeersServer(r.entry))
	mux.HandleFunc(wire.ClaimsPathPrefix, func(w http.ResponseWriter, q *http.Request) { r.entry.claims.handler.ServeHTTP(w, q) })
	entry := httptest.NewServer(mux)
	r.port = generator.New(generator.Config{Address: address(r.backend)})
	r.start(address(entry))
	r.waitFor("configuration read", r.server.keeper.Ready)
	t.Cleanup(func() {
		r.kill()
		r.engine.Close()
		r.backend.CloseClientConnections()
		r.backend.Close()
		r.table.Close()
		entry.CloseClientConnections()
		entry.Close()
	})
	return r
}

func quiet() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

// start starts a sidecar for the engine.
func (r *rig) start(entry string) {
	set := settings.Settings{
		Server: r.name, VM: "vm-" + r.name, Domain: "ikeja", Kind: settings.KindModel, Backend: address(r.backend), Entries: []string{entry},
		Address: "127.0.0.1:25000", Platform: storer.Platform{Table: address(r.table), List: r.list}, HeartbeatMillis: cmp.Or(r.beat, 50), DrainMillis: 2000,
		Limits: settings.Limits{ColdRequests: 2, WarmRequests: 64, BoundCopies: true},
	}
	var err error
	if r.server, err = New(Config{Settings: set, Log: quiet()}); err != nil {
		r.t.Fatal(err)
	}
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	r.server.start(ctx)
	r.web = httptest.NewServer(r.server.Handler())
	r.web.Config.ErrorLog = quiet().Std("", 0)
}

// kill stops the sidecar as if it had been killed.
func (r *rig) kill() {
	r.stop()
	r.server.leaving.stopped.Store(true)
	r.web.CloseClientConnections()
	r.web.Close()
	r.server.keeper.Stop()
}

// result is the result of one proposal. next is the position of the next token.
type result struct {
	end     *wire.End
	refused *wire.Refused
	next    int64
	err     error
}

// proposal returns a proposal for a prompt of about the given number of tokens.
func proposal(tokens, answer int64) *wire.Proposal {
	return &wire.Proposal{
		Request: string(identifier.New[identifier.Request]()), Attempt: string(identifier.New[identifier.Attempt]()), Model: "base",
		RemainingMs: 20_000, Prompt: tokens, Answer: answer,
	}
}

// send sends a proposal and reads the frames to the end.
func (r *rig) send(ctx context.Context, p *wire.Proposal, prompt string) result {
	data, _ := proto.Marshal(p)
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, r.web.URL+"/propose", strings.NewReader(prompt))
	q.Header.Set(ProposalHeader, base64.StdEncoding.EncodeToString(data))
	reply, err := r.web.Client().Do(q)
	if err != nil {
		return result{err: err}
	}
	defer reply.Body.Close()
	frames := framer.NewReader(framer.ReaderConfig{
		Request: identifier.Request(p.GetRequest()), Attempt: identifier.Attempt(p.GetAttempt()), Source: reply.Body, Position: p.GetPosition(),
	})
	for {
		f, err := frames.Next()
		if err != nil {
			return result{err: err, next: frames.Position()}
		}
		if f.GetEnd() != nil || f.GetRefused() != nil {
			return result{end: f.GetEnd(), refused: f.GetRefused(), next: frames.Position()}
		}
	}
}

// ask sends a prompt of the given number of tokens.
func (r *rig) ask(tokens, answer int64) result {
	return r.send(context.Background(), proposal(tokens, answer), text(tokens))
}

func text(tokens int64) string { return string(bytes.Repeat([]byte("word"), int(tokens))) }

func (r *rig) counts() modelserver.Counts {
	q, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, r.backend.URL+"/counts", nil)
	reply, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	defer reply.Body.Close()
	var c modelserver.Counts
	json.NewDecoder(reply.Body).Decode(&c)
	return c
}

// waitFor waits for a condition, at most ten seconds, and returns how long it
// took.
func (r *rig) waitFor(what string, holds func() bool) time.Duration {
	r.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > 10*time.Second {
			r.t.Fatalf("timeout waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// load runs n callers that send requests until the context ends.
func (r *rig) load(ctx context.Context, n int, answer int64) *sync.WaitGroup {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				if got := r.send(ctx, proposal(50, answer), text(50)); got.end == nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	return &all
}
