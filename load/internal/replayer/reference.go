package replayer

import (
	"time"

	"bamboohill/core/profiler"
)

// Reference returns fixed parameters of the cost model: three kinds of requests, told
// apart by their pauses, with one set of limits, values and times. It is a baseline for
// comparison with parameters that are derived from the configuration and the load.
func Reference(kinds *profiler.Kinds, _ *profiler.Parameters) *profiler.Parameters {
	p := &profiler.Parameters{
		Count: kinds.Len(), TightPause: 250 * time.Millisecond, SlotWait: 250 * time.Millisecond, AnswerTime: 2 * time.Second,
		ServeReserve: 250 * time.Millisecond, LeastValue: 1.5, PrefillValue: 4,
	}
	for _, k := range kinds.All() {
		p.Kinds = append(p.Kinds, referenceTerms(k.Pause))
	}
	return p
}

func referenceTerms(pause time.Duration) profiler.Terms {
	switch {
	case pause > 0 && pause <= 250*time.Millisecond:
		return profiler.Terms{Pause: 200 * time.Millisecond, Target: 300 * time.Millisecond, Value: 1.5}
	case pause > 0 && pause <= 600*time.Millisecond:
		return profiler.Terms{Pause: 500 * time.Millisecond, Target: 1500 * time.Millisecond, Value: 4}
	}
	return profiler.Terms{Pause: 800 * time.Millisecond, Target: 3 * time.Second, Value: 18}
}
