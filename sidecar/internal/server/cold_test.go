package server

import (
	"context"
	"testing"
	"time"

	"bamboohill/standin/modelserver"

	"github.com/matryer/is"
)

// quick configures an engine that is fast, to keep tests short.
var quick = modelserver.Config{Memory: 100_000, Prefill: 1e6, Decode: 1000, Step: time.Millisecond, Restart: 100 * time.Millisecond}

// TestRamp overloads a cold engine: the limit must reach that of a warm engine
// without ever exceeding the engine's capacity.
func TestRamp(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 80, 4)
	r.waitFor("full", func() bool { return r.server.gate.Limit() == 64 })
	cancel()
	all.Wait()
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}

// TestColdBetweenProbes turns an engine cold between two probes: not one more
// request may reach it.
func TestColdBetweenProbes(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	r := newRig(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 20, 4)
	r.waitFor("raised", func() bool { return r.server.gate.Limit() >= 20 })
	cancel()
	all.Wait()
	ctx, cancel = context.WithCancel(context.Background())
	all = r.load(ctx, 10, 5000)
	r.waitFor("ten run", func() bool { return r.counts().Jobs == 10 })
	for range 20 {
		r.engine.Faults.Set(modelserver.Cold, 1)
		got := r.ask(50, 4)
		is.True(got.refused != nil) // the status request before Confirm showed it
		r.waitFor("fallen", func() bool { return r.server.gate.Limit() == 2 })
	}
	cancel()
	all.Wait()
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}

// TestOrphansCount checks that a cancelled request that the engine still runs
// counts against the limit until the engine has stopped it.
func TestOrphansCount(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.engine.Faults.Set(modelserver.OrphanJobs, 1)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		r.send(ctx, proposal(50, 5000), text(50))
		cancel()
	}
	r.waitFor("all freed", func() bool { return r.counts().Jobs == 0 && r.server.gate.Running() == 0 })
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}

// TestRestart starts a sidecar while the engine still runs the jobs of its killed
// predecessor: the sidecar must free them, count them until then, and answer
// requests within five seconds.
func TestRestart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.engine.Faults.Set(modelserver.OrphanJobs, 1)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 2, 40_000)
	r.waitFor("two run", func() bool { return r.counts().Jobs == 2 })
	r.kill()
	cancel()
	all.Wait()
	is.Equal(r.counts().Jobs, 2) // orphans
	r.start(r.server.config.Settings.Entries[0])
	took := r.waitFor("requests are answered", func() bool { return r.ask(50, 4).end != nil })
	is.True(took < 5*time.Second)
	is.Equal(r.counts().Jobs, 0)
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}
