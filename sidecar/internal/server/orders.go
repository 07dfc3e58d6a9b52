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

// Limits of bringing the engine to its desired state.
const (
	convergeHeartbeats  = 20 // heartbeat intervals between two steps
	convergeMaxInterval = 10 * time.Second
	convergeTimeout     = 30 * time.Second
	loadRate            = 1.0 // loads per second that the whole fleet may request from the weight store
	loadBurst           = 1.0
)

// converge brings the engine to its desired state until the context ends.
func (s *Server) converge(ctx context.Context) {
	set := s.config.Settings
	table := storer.NewTable(storer.Config{Address: set.Platform.Table})
	c := converger.New(converger.Config{
		Table: table, Engine: s.engine.Engine, Server: set.Server, Domain: set.Domain,
		Budget: scheduler.LoadBudget{Table: table, Rate: loadRate, Burst: loadBurst},
	})
	interval := min(convergeMaxInterval, convergeHeartbeats*time.Duration(set.HeartbeatMillis)*time.Millisecond)
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(interval)))): // spreads the steps of sidecars that started together
	}
	s.desired.watch(ctx, interval, func(ctx context.Context, announced uint64) {
		ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
		defer cancel()
		if s.hasLowContact() {
			c.ForceRead()
		}
		done, err := c.Step(ctx, announced)
		if err != nil {
			s.config.Log.Warn().Str("event", "converge").Err(err).Msg("")
			return
		}
		if !done {
			s.config.Log.Info().Str("event", "converge").Str("state", "under way").Msg("")
		}
	})
}

// announcedRevision is the highest revision of this server's desired state that
// entries announced.
type announcedRevision struct {
	revision atomic.Uint64
	raised   chan struct{}
}

func newAnnouncedRevision() *announcedRevision {
	return &announcedRevision{raised: make(chan struct{}, 1)}
}

// raise records a revision that an entry announced.
func (r *announcedRevision) raise(revision uint64) {
	for {
		old := r.revision.Load()
		if revision <= old {
			return
		}
		if r.revision.CompareAndSwap(old, revision) {
			break
		}
	}
	select {
	case r.raised <- struct{}{}:
	default:
	}
}

// watch calls do at an interval and whenever a higher revision is announced,
// until the context ends.
func (r *announcedRevision) watch(ctx context.Context, interval time.Duration, do func(context.Context, uint64)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.raised:
		}
		do(ctx, r.revision.Load())
	}
}
