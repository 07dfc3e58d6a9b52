package server

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboohill/core/orderer"
	"bamboohill/core/storer"
	"bamboohill/sidecar/internal/converger"
)

// Orders to the engine.
const (
	convergeBeats = 20 // heartbeats between two looks at the wanted row
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
		Budget: orderer.Budget{Table: table, Rate: loadRate, Burst: loadBurst},
	})
	every := convergeBeats * time.Duration(set.Beat) * time.Millisecond
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Duration(rand.Int64N(int64(every)))): // sidecars started together drift apart
	}
	loop(ctx, every, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, convergeLimit)
		defer cancel()
		done, err := c.Step(ctx)
		if err != nil {
			s.config.Log.Warn().Str("event", "converge").Err(err).Msg("")
			return
		}
		if !done {
			s.config.Log.Info().Str("event", "converge").Str("state", "under way").Msg("")
		}
	})
}
