package forwarder

import (
	"fmt"
	"math"
	"time"

	"bamboohill/core/profiler"
)

// terms returns the kind of the request and the parameters of the cost model for the
// given number of engines of its service. Kinds are those of the newest configuration, also
// if the request still follows an older one.
func (x *exchange) terms(engines int, now time.Time) (profiler.Kind, *profiler.Parameters) {
	x.forwarder.Loads.Configure(x.forwarder.Viewer.Load().Configuration)
	return profiler.Of(x.route, x.service.Name), x.forwarder.Loads.Parameters(x.service.Name, engines, now)
}

// value returns the value of an answer in time to the request.
func (x *exchange) value(k profiler.Kind, terms *profiler.Parameters) float64 {
	return terms.Value(x.forwarder.Loads.Kinds().Index(k), k.Rank, x.call.Prompt)
}

// MeterKinds sets the gauges of each kind: its limits, and the rate, the mean prompt and
// the time for which a slot is held, over all entries.
func (f *Forwarder) MeterKinds(now time.Time) {
	c := f.Viewer.Load().Configuration
	if c == nil {
		return
	}
	f.Loads.Configure(c)
	kinds, traffic := f.Loads.Kinds(), f.Loads.Traffic(now)
	f.Meter.Set("kinds", int64(kinds.Len()))
	for i := range kinds.Len() {
		k := kinds.At(i)
		s := traffic[k]
		set := func(name string, n float64) { f.Meter.Set(fmt.Sprintf("kind_%d_%s", i, name), int64(math.Round(n))) }
		set("pause_ms", millis(k.Pause))
		set("target_ms", millis(k.Target))
		set("rank", float64(k.Rank))
		set("per_minute", time.Minute.Seconds()*s.Rate())
		set("prompt_tokens", s.Prompt(0))
		set("slot_ms", float64(time.Second/time.Millisecond)*s.Held(0))
		set("samples", s.Usual.Prompts)
	}
}
