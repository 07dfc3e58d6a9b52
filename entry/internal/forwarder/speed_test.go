package forwarder_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/gauger"
	"bamboohill/core/loadtracker"
	"bamboohill/core/predictor"
	"bamboohill/core/viewer"
	"bamboohill/platform/rig"

	"github.com/matryer/is"
)

// press sends requests one after the other from a number of callers for a time.
func (b *bench) press(callers int, d time.Duration, method, path string) {
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				r := b.request(method, path, "x")
				r.Header.Set("Attempt-Id", fmt.Sprintf("%s-%d-%d", b.t.Name(), c, n))
				answer, err := http.DefaultClient.Do(r)
				if err != nil {
					b.t.Error(err)
					return
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					b.t.Error(err)
				}
				_ = answer.Body.Close() // it was read to its end
			}
		})
	}
	wait.Wait()
}

func (b *bench) slowdown(s *rig.Server) float64 {
	server := b.view.Load().Servers["i-0"]
	for _, v := range b.view.Load().Servers {
		if string(v.ID) == s.ID() {
			server = v
		}
	}
	return b.entry.Gauger.Slowdown(gauger.RunOf(server), time.Now())
}

// TestSlowEngine checks that an engine that becomes slow is found by the pauses of its
// streams, and gets less work, but some.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3, 0)
	b.configure(2, func(r *viewer.Route) { r.TargetGap = 35 * time.Millisecond }) // three passes
	for _, s := range b.servers {
		s.Slow(25 * time.Millisecond)
	}
	b.press(5, time.Second, http.MethodPost, "/chat/x")
	for _, s := range b.servers {
		is.Equal(b.slowdown(s), 1.0)
	}
	slow := b.servers[0]
	slow.Slow(90 * time.Millisecond)
	b.press(5, 1500*time.Millisecond, http.MethodPost, "/chat/x")
	is.True(b.slowdown(slow) > 2)
	before := len(slow.Runs())
	all := len(b.runs())
	b.press(5, time.Second, http.MethodPost, "/chat/x")
	t.Log(len(slow.Runs())-before, len(b.runs())-all, b.slowdown(slow))
	is.True(len(slow.Runs())-before < (len(b.runs())-all)/5)
	for _, s := range b.servers[1:] {
		is.Equal(b.slowdown(s), 1.0)
	}
}

// TestFastFailures checks that a plain server that fails at once is not taken for a fast
// one, and that the others are not taken for slow.
func TestFastFailures(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 3)
	for _, s := range b.servers {
		s.Slow(20 * time.Millisecond)
	}
	b.press(6, time.Second, http.MethodGet, "/read/x")
	for range 10_000 {
		b.servers[0].AddFaults(rig.FaultServerError)
	}
	b.servers[0].Slow(0)
	b.press(6, time.Second, http.MethodGet, "/read/x")
	for _, s := range b.servers {
		is.Equal(b.slowdown(s), 1.0)
	}
}

// TestSlowPlainServer checks that a plain server that becomes slow gets less work.
func TestSlowPlainServer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0, 3)
	for _, s := range b.servers {
		s.Slow(10 * time.Millisecond)
	}
	b.press(6, time.Second, http.MethodGet, "/read/x")
	slow := b.servers[0]
	slow.Slow(60 * time.Millisecond)
	b.press(6, time.Second, http.MethodGet, "/read/x")
	is.True(b.slowdown(slow) > 2)
	before, all := len(slow.Runs()), len(b.runs())
	b.press(3, time.Second, http.MethodGet, "/read/x")
	t.Log(len(slow.Runs())-before, len(b.runs())-all, b.slowdown(slow))
	is.True(len(slow.Runs())-before < (len(b.runs())-all)/20)
}

// TestSlowHelper checks that the policy splits a long prompt among engines at normal speed as
// long as there are enough, and that a slow engine serves when others are full.
func TestSlowHelper(t *testing.T) {
	is := is.New(t)
	engine := &predictor.Engine{
		Slots: 16, Capacity: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepPerRequest: 4830 * time.Nanosecond,
		StepPerKTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, AttentionPerMPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
	}
	var all []assigner.Candidate
	for n := range 14 {
		c := assigner.Candidate{ID: viewer.ServerID(fmt.Sprint("i-", n)), Engine: engine, EntryRank: 0.5}
		if n < 2 {
			c.Slowdown, c.EntryRank = 2, 1
		}
		all = append(all, c)
	}
	long := assigner.Prompt{Tokens: 210_000, Answer: 800, Target: 3 * time.Second, Gap: 800 * time.Millisecond}
	plan, _ := assigner.Choose(long, all)
	is.True(len(plan.Helpers) >= 5)
	for _, id := range append(plan.Helpers, plan.Server) {
		is.True(id != "i-0" && id != "i-1")
	}
	for n := 2; n < 14; n++ {
		all[n].Load = loadtracker.Load{Running: 16, Decoding: loadtracker.Counts{16}, ContextTokens: 100_000}
	}
	short := assigner.Prompt{Tokens: 2000, Answer: 1500, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond}
	plan, _ = assigner.Choose(short, all)
	is.True(plan.Server == "i-0" || plan.Server == "i-1")
}

// spyPolicy notes what a policy is asked.
type spyPolicy struct {
	assigner.Policy
	mu      sync.Mutex
	engines int
	load    float64
}

func (s *spyPolicy) Choose(p assigner.Prompt, all []assigner.Candidate) (assigner.Plan, assigner.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines, s.load = len(all), p.PrefillLoad
	return s.Policy.Choose(p, all)
}

// TestRoomDropsAtAnnouncement checks that an engine that says that it leaves, or that its
// registration says so of, no longer counts as room, although it still runs.
func TestRoomDropsAtAnnouncement(t *testing.T) {
	tests := map[string]func(b *bench){
		"answer": func(b *bench) { b.servers[0].Say(0, "Server-Leaving: 1") },
		"registration": func(b *bench) {
			servers := maps.Clone(b.view.Load().Servers)
			draining := *servers["i-0"]
			draining.Draining = true
			servers["i-0"] = &draining
			b.view.SetServers(servers)
		},
	}
	for name, announce := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 2, 0)
			policy := &spyPolicy{Policy: b.entry.Policy}
			b.entry.Policy = policy
			ask := func() {
				for n := range 12 {
					r := b.request(http.MethodPost, "/chat/x", "x")
					r.Header.Set("Attempt-Id", fmt.Sprint(b.t.Name(), n, time.Now().UnixNano()))
					r.Header.Set("Token-Usage", "60000,50")
					_, _, err := b.do(r)
					is.NoErr(err)
				}
			}
			announce(b)
			ask()
			policy.mu.Lock()
			defer policy.mu.Unlock()
			is.Equal(policy.engines, 1)
			demand, _ := b.loads.PrefillDemand(time.Now())
			is.True(policy.load > 0.7*demand) // by one engine, not by two
		})
	}
}
