package server

import (
	"context"
	"testing"
	"time"

	"bamboohill/standin/modelserver"

	"github.com/matryer/is"
)

// quick is an engine that works so fast that a test is short.
var quick = modelserver.Config{Memory: 100_000, Prefill: 1e6, Decode: 1000, Step: time.Millisecond, Restart: 100 * time.Millisecond}

// A cold engine under a load far beyond it is brought to full and never
// offered more than it bears.
func TestRamp(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 80, 4)
	r.until("full", func() bool { return r.server.gate.Limit() == 64 })
	cancel()
	all.Wait()
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}

// An engine that turns cold between two probes is not offered one request more.
func TestSilentCold(t *testing.T) {
	is := is.New(t)
	config := quick
	config.Warm = true
	r := newRig(t, config)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 20, 4)
	r.until("raised", func() bool { return r.server.gate.Limit() >= 20 })
	cancel()
	all.Wait()
	ctx, cancel = context.WithCancel(context.Background())
	all = r.load(ctx, 10, 5000)
	r.until("ten run", func() bool { return r.counts().Jobs == 10 })
	for range 20 {
		r.engine.Faults.Set(modelserver.Cold, 1)
		got := r.ask(50, 4)
		is.True(got.refused != nil) // the gate saw it
		r.until("fallen", func() bool { return r.server.gate.Limit() == 2 })
	}
	cancel()
	all.Wait()
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}

// What the sidecar gave up on, but the engine still runs, counts until the
// engine has let go.
func TestOrphansCount(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.engine.Faults.Set(modelserver.OrphanJobs, 1)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		r.send(ctx, proposal(50, 5000), text(50))
		cancel()
	}
	r.until("all freed", func() bool { return r.counts().Jobs == 0 && r.server.gate.Running() == 0 })
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}

// A sidecar that starts beside a loaded engine frees what its predecessor left
// there, counts it until then, and is in service within five seconds.
func TestRestart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, quick)
	r.engine.Faults.Set(modelserver.OrphanJobs, 1)
	ctx, cancel := context.WithCancel(context.Background())
	all := r.load(ctx, 2, 40_000)
	r.until("two run", func() bool { return r.counts().Jobs == 2 })
	r.end()
	cancel()
	all.Wait()
	is.Equal(r.counts().Jobs, 2) // orphans
	r.begin(r.server.config.Settings.Entries[0])
	took := r.until("in service", func() bool { return r.ask(50, 4).end != nil })
	is.True(took < 5*time.Second)
	is.Equal(r.counts().Jobs, 0)
	is.Equal(r.counts().Crashes, 0)
	is.True(r.counts().PeakLoad <= 1)
}
