package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"bamboohill/core/spawner"
	"bamboohill/sidecar/internal/gatekeeper"
	"bamboohill/standin/modelserver"
	"bamboohill/wire"
)

// BenchmarkRamp loads cold engines, up to a whole failure domain at once, with 80
// callers each until the limit is that of a warm engine. It reports the duration
// and the highest ratio of offered load to the capacity of an engine.
func BenchmarkRamp(b *testing.B) {
	for _, engines := range []int{1, 3} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var worst float64
			var full time.Duration
			for b.Loop() {
				start := time.Now()
				var rigs []*rig
				ctx, cancel := context.WithCancel(context.Background())
				var all sync.WaitGroup
				for range engines {
					r := newRig(b, quick)
					rigs = append(rigs, r)
					all.Go(r.load(ctx, 80, 4).Wait)
				}
				for _, r := range rigs {
					r.waitFor("full", func() bool { return r.server.gate.Limit() == 64 })
				}
				full += time.Since(start)
				cancel()
				all.Wait()
				for _, r := range rigs {
					worst = max(worst, r.counts().PeakLoad)
				}
			}
			b.ReportMetric(worst, "offered/borne")
			b.ReportMetric(full.Seconds()/float64(b.N), "s-to-full")
		})
	}
}

// BenchmarkColdTurns turns a loaded engine cold at random times (seed 1) and
// reports the fraction of turns that crashed it, which are those between the
// status request and the start of a request.
func BenchmarkColdTurns(b *testing.B) {
	for _, callers := range []int{8, 30} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			config := quick
			config.Warm = true
			r := newRig(b, config)
			random := rand.New(rand.NewPCG(1, 1))
			ctx, cancel := context.WithCancel(context.Background())
			all := r.load(ctx, callers, 40)
			for b.Loop() {
				r.waitFor("raised", func() bool { return r.server.gate.Limit() >= callers })
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				r.engine.Faults.Set(modelserver.Cold, 1)
				r.waitFor("fallen", func() bool { return r.server.gate.Limit() < callers })
			}
			cancel()
			all.Wait()
			b.ReportMetric(float64(r.counts().Crashes)/float64(b.N), "crashes/turn")
		})
	}
}

// BenchmarkPropose measures one short request through the sidecar, below the cold
// limit and above it, where the sidecar reads the engine's status first.
func BenchmarkPropose(b *testing.B) {
	for _, others := range []int{0, 3} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			config := quick
			config.Warm = true
			config.Memory = 10_000_000
			config.Step = 100 * time.Microsecond
			r := newRig(b, config)
			for r.server.gate.Limit() < 8 {
				r.ask(50, 1)
			}
			ctx, cancel := context.WithCancel(context.Background())
			all := r.load(ctx, others, 1_000_000)
			r.waitFor("others run", func() bool { return r.counts().Jobs == others })
			for b.Loop() {
				if r.send(context.Background(), fingerprinted(text(50), 1), text(50)).end == nil {
					b.Fatal("refused")
				}
			}
			cancel()
			all.Wait()
		})
	}
}

// BenchmarkOwner compares two ways to guard the gate: a mutex, and an actor that
// receives messages and replies.
func BenchmarkOwner(b *testing.B) {
	p := &wire.Proposal{Attempt: "a", RemainingMs: 1, Prompt: 1, Answer: 1}
	facts := gatekeeper.Facts{Now: time.Now(), Alive: true, ModelLoaded: true, Memory: 100}
	b.Run("mutex", func(b *testing.B) {
		g := gatekeeper.New(gatekeeper.Config{ColdLimit: 2, WarmLimit: 64})
		for b.Loop() {
			g.Admit(p, facts)
			g.Remove("a", false)
		}
	})
	b.Run("mutex-parallel", func(b *testing.B) {
		g := gatekeeper.New(gatekeeper.Config{ColdLimit: 2, WarmLimit: 64})
		b.RunParallel(func(n *testing.PB) {
			for n.Next() {
				g.Admit(p, facts)
				g.Remove("a", false)
			}
		})
	})
	type message struct{ done chan struct{} }
	startActor := func(g *gatekeeper.Gate) *spawner.Ref[message] {
		return spawner.Spawn(spawner.Config[message]{Receive: func(m message) {
			g.Admit(p, facts)
			g.Remove("a", false)
			m.done <- struct{}{}
		}})
	}
	b.Run("mailbox", func(b *testing.B) {
		ref := startActor(gatekeeper.New(gatekeeper.Config{ColdLimit: 2, WarmLimit: 64}))
		defer ref.Stop()
		done := make(chan struct{}, 1)
		for b.Loop() {
			ref.Send(message{done})
			<-done
		}
	})
	b.Run("mailbox-parallel", func(b *testing.B) {
		ref := startActor(gatekeeper.New(gatekeeper.Config{ColdLimit: 2, WarmLimit: 64}))
		defer ref.Stop()
		b.RunParallel(func(n *testing.PB) {
			done := make(chan struct{}, 1)
			for n.Next() {
				ref.Send(message{done})
				<-done
			}
		})
	})
}
