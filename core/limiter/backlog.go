package limiter

import (
	"time"

	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Backlog returns the time that the open model servers would need to prefill
// all prompts in their queues if the work were spread evenly. Long prompts are
// left out: they queue by design, and a single one would look like an
// overload. It returns 0 if no server reports a prefill rate.
func Backlog(servers []watcher.Server) time.Duration {
	var tokens, prefillRate float64 // rate in tokens/s
	for _, s := range servers {
		if s.GetKind() != wire.Kind_KIND_MODEL || s.GetState() != wire.State_STATE_OPEN {
			continue
		}
		tokens += float64(max(0, s.GetQueued()-s.GetLong()))
		prefillRate += s.GetPrefill()
	}
	if prefillRate <= 0 {
		return 0
	}
	return time.Duration(tokens / prefillRate * float64(time.Second))
}
