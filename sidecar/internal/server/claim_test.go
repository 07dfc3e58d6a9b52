package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboohill/core/claimer"
	"bamboohill/core/identifier"
	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/standin/answerer"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// registry is the home of every request in a test.
type registry struct {
	server http.Handler
	mu     sync.Mutex
	claims *claimer.Claimer
}

func newRegistry() *registry {
	r := &registry{claims: claimer.New(claimer.Config{})}
	r.server = wire.NewClaimsServer(r)
	return r
}

func (r *registry) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers, held := r.claims.Claim(claimer.Claim{
		Fingerprint: q.GetFingerprint(), Server: identifier.Server(q.GetServer()), Attempt: identifier.Attempt(q.GetAttempt()),
		Lease: time.Duration(q.GetLeaseMs()) * time.Millisecond,
	}, time.Now())
	reply := &wire.ClaimReply{Held: held}
	for _, s := range servers {
		reply.Servers = append(reply.Servers, string(s))
	}
	return reply, nil
}

func (r *registry) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	how := map[wire.Settlement]claimer.Settlement{
		wire.Settlement_SETTLEMENT_FINISHED: claimer.Finished, wire.Settlement_SETTLEMENT_CRASHED: claimer.Crashed,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims.Settle(q.GetFingerprint(), identifier.Attempt(q.GetAttempt()), how[q.GetSettlement()], time.Now())
	return &wire.SettleReply{}, nil
}

// copy sends one copy of a request until it is answered or convicted, as an
// entry does, first to some server and then to one that runs another copy.
func (f *fleet) copy(suspects *screener.Screener, prompt string, at int) wire.Outcome {
	for range 400 {
		p := named(prompt, 4)
		switch suspects.Decide(p.GetFingerprint()).Mode {
		case quarantiner.Blocked:
			return wire.Outcome_OUTCOME_NOT_RUN
		case quarantiner.Isolated:
			p.Alone = true
			place, _ := quarantiner.ServerFor(p.GetFingerprint(), f.names)
			at = f.at(place)
		case quarantiner.Allowed:
		}
		got := f.rigs[at].send(context.Background(), p, prompt)
		if got.end != nil {
			return wire.Outcome_OUTCOME_ANSWERED
		}
		for _, a := range got.refused.GetSuspects() {
			suspects.Record(a)
		}
		if near := got.refused.GetServers(); len(near) > 0 {
			at = f.at(near[rand.IntN(len(near))])
		}
		time.Sleep(10 * time.Millisecond)
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// fleet is several engines with their sidecars before two entries that share
// their claims.
type fleet struct {
	rigs    []*rig
	names   []string
	entries []*screener.Screener
}

func newFleet(t testing.TB, engines int, config answerer.Config) *fleet {
	f := &fleet{entries: []*screener.Screener{screener.New(screener.Config{}), screener.New(screener.Config{})}}
	claims := newRegistry()
	for n := range engines {
		name := fmt.Sprintf("m%d", n)
		r := newNamed(t, name, config, f.entries)
		r.entry.claims = claims
		f.rigs = append(f.rigs, r)
		f.names = append(f.names, name)
	}
	return f
}

func (f *fleet) at(name string) int {
	for n, other := range f.names {
		if other == name {
			return n
		}
	}
	return 0
}

func (f *fleet) crashes() int {
	n := 0
	for _, r := range f.rigs {
		n += r.counts().Crashes
	}
	return n
}

// Copies of a request that crashes whatever runs it, sent at one moment to
// random servers through two entries, crash two engines at most.
func TestCopies(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	config.Prefill = 5000
	f := newFleet(t, 6, config)
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 10 {
		before := f.crashes()
		bad := text(int64(100+round)) + answerer.Marker
		var all sync.WaitGroup
		for n := range 8 {
			at := random.IntN(len(f.rigs))
			all.Go(func() {
				if got := f.copy(f.entries[n%2], bad, at); got != wire.Outcome_OUTCOME_NOT_RUN {
					t.Errorf("round %d: a copy ended as %v", round, got)
				}
			})
		}
		all.Wait()
		is.True(f.crashes()-before <= 2)
		for _, r := range f.rigs {
			r.until("in service", func() bool { return r.ask(50, 1).end != nil })
		}
	}
}

// Once a copy has finished, others run anywhere.
func TestHonestCopies(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	config.Prefill = 5000
	f := newFleet(t, 3, config)
	prompt := text(500)
	var all sync.WaitGroup
	for n := range 2 {
		all.Go(func() { f.rigs[n].send(context.Background(), named(prompt, 4), prompt) })
	}
	for n := range 2 {
		f.rigs[n].until("copy runs", func() bool { return f.rigs[n].counts().Jobs == 1 })
	}
	got := f.rigs[2].send(context.Background(), named(prompt, 4), prompt)
	is.Equal(got.refused.GetReason(), wire.Reason_REASON_COPIES)
	is.Equal(got.refused.GetOutcome(), wire.Outcome_OUTCOME_NOT_RUN)
	is.Equal(got.refused.GetServers(), []string{"m0", "m1"})
	is.Equal(f.rigs[2].server.gate.Running(), 0)
	is.True(f.rigs[0].send(context.Background(), named(prompt, 4), prompt).end != nil)
	all.Wait()
	f.rigs[2].until("answered", func() bool { return f.rigs[2].send(context.Background(), named(prompt, 4), prompt).end != nil })
}

// A home that does not answer costs one wait, and the request runs.
func TestHomeAway(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	r := newRig(t, config)
	r.entry.claims.server = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	is.True(r.send(context.Background(), named(text(50), 4), text(50)).end != nil)
	is.Equal(r.server.counts.unclaimed.Value(), int64(1))
}

func TestHomes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var h homeSelector
	entries := []string{"a", "b", "c"}
	first := h.pick("f", entries, now)
	is.Equal(len(first), maxClaimHomes)
	h.backOff(first[0], now)
	is.Equal(h.pick("f", entries, now)[0], first[1])
	is.Equal(h.pick("f", entries, now.Add(homeBackoff)), first)
	is.Equal(len(h.pick("f", nil, now)), 0)
}

// BenchmarkCopies sends copies of one harmless request at one moment to six
// engines, with the bound and without, and reports the time of the slowest.
func BenchmarkCopies(b *testing.B) {
	for _, copies := range []int{2, 8} {
		for _, bounded := range []bool{false, true} {
			b.Run(fmt.Sprintf("copies=%d/bounded=%v", copies, bounded), func(b *testing.B) {
				config := quick
				config.Warm = true
				config.Prefill = 50_000
				f := newFleet(b, 6, config)
				if !bounded {
					f.rigs[0].entry.claims.server = http.NotFoundHandler()
				}
				for n := 0; b.Loop(); n++ {
					prompt := text(int64(1000 + n))
					var all sync.WaitGroup
					for i := range copies {
						all.Go(func() { f.copy(f.entries[i%2], prompt, i%len(f.rigs)) })
					}
					all.Wait()
				}
			})
		}
	}
}
