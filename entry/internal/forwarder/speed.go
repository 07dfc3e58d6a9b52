package forwarder

import (
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/gauger"
	"bamboohill/core/predictor"
	"bamboohill/core/viewer"
)

// passObserver measures the passes of the model engine that decodes an answer, by the time
// between two of its events.
type passObserver struct {
	exchange *exchange
	server   *viewer.Server
	events   int       // of the answer, after the last read
	last     time.Time // when the last event was read; zero if the next pause can't be used
}

// observePasses returns a function to be called after each read of events, or nil if the
// answer shows no passes.
func (x *exchange) observePasses(p placement) func(now time.Time) {
	if x.service.Engine == nil || x.route.Kind != viewer.Streaming {
		return nil
	}
	o := &passObserver{exchange: x, server: p.server, events: x.relay.splitter.Events()}
	return o.observe
}

// observe records the pass that ended with the events that were read now. It leaves out
// reads of several events, which were late, and the pause after them, and passes
// beside which the engine is known to prefill for longer than they take.
func (o *passObserver) observe(now time.Time) {
	x := o.exchange
	previous, late := o.last, x.relay.splitter.Events() != o.events+1
	o.events, o.last = x.relay.splitter.Events(), now
	if late {
		o.last = time.Time{}
		return
	}
	run := gauger.RunOf(o.server)
	if previous.IsZero() || !x.forwarder.Gauger.Wants(run, now) {
		return
	}
	load := x.forwarder.Loads.Load(o.server.ID, now)
	predicted := x.service.Engine.PassTime(predictor.Batch{Decoding: load.DecodingTotal(), Context: load.ContextTokens})
	if load.Prefill >= predicted {
		o.last = time.Time{}
		return
	}
	x.forwarder.Gauger.RecordPass(x.service.Name, run, now.Sub(previous), predicted, now)
}

// gaugeCall records the duration of a successful call of a plain service that had a free
// slot.
func (x *exchange) gaugeCall(p placement, result sendResult) {
	if x.service.Engine != nil || result != sendDone || x.failure != nil || p.load.Running >= p.server.Slots {
		return
	}
	now := time.Now()
	x.forwarder.Gauger.RecordCall(x.service.Name, x.route.Name, gauger.RunOf(p.server), now.Sub(p.attempted), now)
}

// slowdown returns the duration of work at a backend server relative to normal.
func (x *exchange) slowdown(s *viewer.Server, now time.Time) float64 {
	return x.forwarder.Gauger.Slowdown(gauger.RunOf(s), now)
}

// applySlowdown sets the slowdown of a candidate. A slow one comes last in the entry's order,
// which is meant for engines that are alike.
func (x *exchange) applySlowdown(c *assigner.Candidate, s *viewer.Server, now time.Time) {
	c.Slowdown = x.slowdown(s, now)
	if c.Slowdown > 1 {
		c.EntryRank = 1
	}
}
