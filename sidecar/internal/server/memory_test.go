package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"bamboohill/core/generator"
	"bamboohill/standin/injector"
	"bamboohill/standin/modelserver"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// empty reports whether the engine and the ledger hold no memory and no requests.
func (r *rig) empty() bool {
	return r.counts().Used == 0 && r.server.gate.Reserved() == 0 && r.server.gate.Running() == 0
}

// TestAuditFreesOrphans checks that allocations without a live request are found,
// counted and freed while the sidecar runs.
func TestAuditFreesOrphans(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	ctx := context.Background()
	is.NoErr(r.port.Import(ctx, generator.Cache{Handle: "forgotten", Tokens: 5000}))
	s, err := r.port.Generate(ctx, generator.Job{ID: "stranger", Model: "base", Prompt: []byte(text(100)), MaxTokens: 40_000})
	is.NoErr(err)
	defer s.Close()
	r.waitFor("counted", func() bool { return r.server.gate.Reserved() == 5000+100+40_000 && r.server.gate.Running() == 1 })
	r.waitFor("freed", r.empty)
	is.Equal(r.server.counts.freed.Value(), int64(5000+100+40_000))
}

// TestAuditEndsLost checks that an attempt that the engine does not know is
// cancelled and its slot freed.
func TestAuditEndsLost(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.engine.Faults.Set(injector.Freeze, 1) // the stream stays open and nothing is done
	p := proposal(50, 40_000)
	done := make(chan result)
	go func() { done <- r.send(context.Background(), p, text(50)) }()
	r.waitFor("entered", func() bool { return r.server.gate.Running() == 1 })
	r.engine.Faults.Set(injector.Freeze, 0)
	r.waitFor("runs", func() bool { return r.counts().Jobs == 1 })
	is.NoErr(r.port.Cancel(context.Background(), p.GetAttempt()))
	got := <-done
	is.True(got.end == nil)
	r.waitFor("freed", r.empty)
}

// TestImportFreed checks that an imported cache is freed whether or not the target
// engine could use it.
func TestImportFreed(t *testing.T) {
	tests := map[string]struct {
		model string
		used  bool
	}{
		"used":    {"base", true},
		"refused": {"unknown", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, quick)
			p := proposal(100, 4)
			p.Model = test.model
			p.Imported = "cache"
			p.Carried = 100
			got := r.send(context.Background(), p, text(100))
			is.Equal(got.end != nil, test.used)
			if test.used {
				is.Equal(got.end.GetCached(), int64(100))
			}
			r.waitFor("freed", r.empty)
		})
	}
}

// TestFaultsLeaveNoMemory checks that after random faults of all kinds the engine's
// free memory is that of the start and the ledger is empty.
func TestFaultsLeaveNoMemory(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRig(t, quick)
			random := rand.New(rand.NewPCG(seed, 2))
			entry := r.server.config.Settings.Entries[0]
			var all sync.WaitGroup
			for range 30 {
				r.injectRandomFault(random, entry, &all)
				time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
			}
			for _, name := range []string{modelserver.OrphanJobs, modelserver.Truncate, injector.Freeze, injector.LoseResponse} {
				r.engine.Faults.Set(name, 0)
			}
			all.Wait()
			r.waitFor("free as at the start", r.empty)
			r.waitFor("requests are answered", func() bool { return r.ask(50, 4).end != nil })
			if r.counts().PeakLoad > 1 {
				t.Errorf("offered load was %v of the capacity", r.counts().PeakLoad)
			}
		})
	}
}

// injectRandomFault does one random action: a request whose caller may disconnect,
// a fault of the engine, a reservation that is not renewed, a migration, an
// import, or a kill of the sidecar or the engine.
func (r *rig) injectRandomFault(random *rand.Rand, entry string, all *sync.WaitGroup) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	switch n := random.IntN(20); {
	case n < 10:
		left := time.Duration(random.IntN(100)) * time.Millisecond
		answer := 4 + random.Int64N(200)
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), left)
			defer cancel()
			r.send(ctx, proposal(50, answer), text(50))
		})
	case n < 12:
		names := []string{modelserver.OrphanJobs, modelserver.Truncate, injector.Freeze, injector.LoseResponse}
		r.engine.Faults.Set(names[random.IntN(len(names))], random.IntN(2)*3)
	case n < 14:
		gateService{r.server}.Reserve(ctx, &wire.ReserveRequest{
			Gang: fmt.Sprint(random.Uint64()), Tokens: 1000, LeaseMs: 200, Model: "base",
		})
	case n < 15:
		r.server.migrateStreams(ctx)
	case n < 16:
		r.port.Import(ctx, generator.Cache{Handle: fmt.Sprint(random.Uint64()), Tokens: 100})
	case n < 17:
		r.engine.Faults.Set(modelserver.Crash, 1)
	case n < 18:
		r.engine.Faults.Set(modelserver.Cold, 1)
	default:
		r.kill()
		all.Wait()
		r.start(entry)
	}
}
