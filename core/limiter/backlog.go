package limiter

import (
	"time"

	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Backlog returns how long the backend servers in view would take for the
// prefill that waits at them, shared out evenly. Long prompts do not count:
// they wait by design, and a single one would look like an overload.
func Backlog(servers []watcher.Server) time.Duration {
	var tokens, speed float64
	for _, s := range servers {
		if s.GetKind() != wire.Kind_KIND_MODEL || s.GetState() != wire.State_STATE_OPEN {
			continue
		}
		tokens += float64(max(0, s.GetQueued()-s.GetLong()))
		speed += s.GetPrefill()
	}
	if speed <= 0 {
		return 0
	}
	return time.Duration(tokens / speed * float64(time.Second))
}
