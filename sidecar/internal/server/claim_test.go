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
	"bamboohill/standin/modelserver"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// homeEntry is the home entry of every request in a test.
type homeEntry struct {
	handler http.Handler
	mu      sync.Mutex
	claims  *claimer.Claimer
}

func newHomeEntry() *homeEntry {
	r := &homeEntry{claims: claimer.New(claimer.Config{})}
	r.handler = wire.NewClaimsServer(r)
	return r
}

func (r *homeEntry) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
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

func (r *homeEntry) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	how := map[wire.Settlement]claimer.Settlement{
		wire.Settlement_SETTLEMENT_FINISHED: claimer.Finished, wire.Settlement_SETTLEMENT_CRASHED: claimer.Crashed,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims.Settle(q.GetFingerprint(), identifier.Attempt(q.GetAttempt()), how[q.GetSettlement()], time.Now())
	return &wire.SettleReply{}, nil
}

// copy sends one copy of a request until it is answered or blocked, as an entry
// does: first to the given server, then to servers that run other copies.
func (f *fleet) copy(suspects *screener.Screener, prompt string, at int) wire.Outcome {
	for range 400 {
		p := fingerprinted(prompt, 4)
		switch suspects.Decide(p.GetFingerprint()).Mode {
		case quarantiner.Blocked:
			return wire.Outcome_OUTCOME_NOT_RUN
		case quarantiner.Isolated:
			p.Alone = true
			name, _ := quarantiner.ServerFor(p.GetFingerprint(), f.names)
			at = f.at(name)
		case quarantiner.Allowed, quarantiner.Trial:
		}
		got := f.rigs[at].send(context.Background(), p, prompt)
		if got.end != nil {
			return wire.Outcome_OUTCOME_ANSWERED
		}
		for _, a := range got.refused.GetSuspects() {
			suspects.Record(a)
		}
		if servers := got.refused.GetServers(); len(servers) > 0 {
			at = f.at(servers[rand.IntN(len(servers))])
		}
		time.Sleep(10 * time.Millisecond)
	}
	return wire.Outcome_OUTCOME_UNKNOWN
}

// fleet is several engines with their sidecars and two entries, which share one
// home entry.
type fleet struct {
	rigs    []*rig
	names   []string
	entries []*screener.Screener
}

func newFleet(t testing.TB, engines int, config modelserver.Config) *fleet {
	f := &fleet{entries: []*screener.Screener{screener.New(screener.Config{}), screener.New(screener.Config{})}}
	claims := newHomeEntry()
	for n := range engines {
		name := fmt.Sprintf("m%d", n)
		r := newNamedRig(t, name, config, f.entries)
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

// TestCopies sends copies of a request that crashes every engine concurrently to
// random servers through two entries: at most two engines may crash.
func TestCopies(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	config.Prefill = 5000
	f := newFleet(t, 6, config)
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 10 {
		before := f.crashes()
		bad := text(int64(100+round)) + modelserver.CrashMarker
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
			r.waitFor("requests are answered", func() bool { return r.ask(50, 1).end != nil })
		}
	}
}

// TestCopiesAfterFinish checks that two copies of a request may run at once and a
// third is refused with the servers of the others; once a copy has finished,
// copies run on any server.
func TestCopiesAfterFinish(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	config.Prefill = 5000
	f := newFleet(t, 3, config)
	prompt := text(500)
	var all sync.WaitGroup
	for n := range 2 {
		all.Go(func() { f.rigs[n].send(context.Background(), fingerprinted(prompt, 4), prompt) })
	}
	for n := range 2 {
		f.rigs[n].waitFor("copy runs", func() bool { return f.rigs[n].counts().Jobs == 1 })
	}
	got := f.rigs[2].send(context.Background(), fingerprinted(prompt, 4), prompt)
	is.Equal(got.refused.GetReason(), wire.Reason_REASON_COPIES)
	is.Equal(got.refused.GetOutcome(), wire.Outcome_OUTCOME_NOT_RUN)
	is.Equal(got.refused.GetServers(), []string{"m0", "m1"})
	is.Equal(f.rigs[2].server.gate.Running(), 0)
	is.True(f.rigs[0].send(context.Background(), fingerprinted(prompt, 4), prompt).end != nil)
	all.Wait()
	f.rigs[2].waitFor("answered", func() bool { return f.rigs[2].send(context.Background(), fingerprinted(prompt, 4), prompt).end != nil })
}

// TestHomeUnreachable checks that a request runs without a claim if its home entry
// fails.
func TestHomeUnreachable(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	r := newRig(t, config)
	r.entry.claims.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	is.True(r.send(context.Background(), fingerprinted(text(50), 4), text(50)).end != nil)
	is.Equal(r.server.counts.unclaimed.Value(), int64(1))
}

// TestHomeSelector checks that an entry is skipped for homeBackoff.
func TestHomeSelector(t *testing.T) {
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

// BenchmarkCopies sends copies of one harmless request concurrently to six
// engines, with and without the limit on copies, and measures the time until the
// slowest is answered.
func BenchmarkCopies(b *testing.B) {
	for _, copies := range []int{2, 8} {
		for _, bounded := range []bool{false, true} {
			b.Run(fmt.Sprintf("copies=%d/bounded=%v", copies, bounded), func(b *testing.B) {
				config := quick
				config.Warm = true
				config.Prefill = 50_000
				f := newFleet(b, 6, config)
				if !bounded {
					f.rigs[0].entry.claims.handler = http.NotFoundHandler()
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
