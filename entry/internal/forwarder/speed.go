package forwarder

import (
	"time"

	"bamboohill/core/gauger"
	"bamboohill/core/loadtracker"
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
// reads of several events, which were late, and the pause after them, and passes in
// which the engine prefilled a prompt.
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
	if prefills(load) {
		o.last = time.Time{}
		return
	}
	predicted := x.service.Engine.PassTime(predictor.Batch{Decoding: load.DecodingTotal(), Context: load.ContextTokens})
	x.forwarder.Gauger.RecordPass(x.service.Name, run, now.Sub(previous), predicted, now)
}

// prefills reports whether an engine is known to prefill a prompt.
func prefills(l loadtracker.Load) bool {
	waiting := l.HelperPrefills
	for _, n := range l.Prefilling {
		waiting += n
	}
	return waiting > 0 || l.Prefill > 0
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
