package server

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bamboohill/core/scheduler"
	"bamboohill/core/storer"
	"bamboohill/sidecar/internal/converger"
)

// Orders to the engine.
const (
	convergeBeats = 20 // heartbeats between two looks at the engine
	convergeMost  = 10 * time.Second
	convergeLimit = 30 * time.Second
	loadRate      = 1.0 // loads a second that the whole fleet asks of the weight store
	loadBurst     = 1.0
)

// converge brings the engine to its wanted row, until the context ends.
func (s *Server) converge(ctx context.Context) {
	set := s.config.Settings
	table := storer.NewTable(storer.Config{Address: set.Platform.Table})
	c := converger.New(converger.Config{
		Table: table, Engine: s.engine.Engine, Server: set.Server, Domain: set.Domain,
		Budget: scheduler.LoadBudget{Table: table, Rate: loadRate, Burst: loadBurst},
	})
	every := min(convergeMost, convergeBeats*time.Duration(set.Beat)*time.Millisecond)
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(every)))): // sidecars started together drift apart
	}
	s.wanted.loop(ctx, every, func(ctx context.Context, told uint64) {
		ctx, cancel := context.WithTimeout(ctx, convergeLimit)
		defer cancel()
		if s.isLonely() {
			c.ForceRead()
		}
		done, err := c.Step(ctx, told)
		if err != nil {
			s.config.Log.Warn().Str("event", "converge").Err(err).Msg("")
			return
		}
		if !done {
			s.config.Log.Info().Str("event", "converge").Str("state", "under way").Msg("")
		}
	})
}

// wanted is the highest revision of this server's wanted state that entries
// told of.
type wanted struct {
	revision atomic.Uint64
	risen    chan struct{}
}

func newWanted() *wanted { return &wanted{risen: make(chan struct{}, 1)} }

// hear takes a revision that an entry told.
func (w *wanted) hear(revision uint64) {
	for {
		old := w.revision.Load()
		if revision <= old {
			return
		}
		if w.revision.CompareAndSwap(old, revision) {
			break
		}
	}
	select {
	case w.risen <- struct{}{}:
	default:
	}
}

// loop calls do now and then, and when a higher revision was told.
func (w *wanted) loop(ctx context.Context, every time.Duration, do func(context.Context, uint64)) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-w.risen:
		}
		do(ctx, w.revision.Load())
	}
}
