package gatekeeper

import "time"

// Bounds of a first token's time that is no sign of a cold start.
const (
	slowFactor = 8           // times the cost model's estimate
	slowSlack  = time.Second // above it
)

// ramp is the limit of requests at once. It stands at what a cold backend
// server bears for as long as the backend server calls itself cold, and then
// rises by one with each request that was handed over since and finished: it
// doubles in the time of one request. Any sign of cold brings it back at once.
type ramp struct {
	config Config
	limit  int
	warm   bool // the backend server's own word
	epoch  int  // rises with each fall
}

func newRamp(config Config) ramp { return ramp{config: config, limit: config.ColdLimit} }

func (r *ramp) cold() bool { return r.limit < r.config.WarmLimit }

func (r *ramp) rise() {
	if r.warm {
		r.limit = min(r.limit+1, r.config.WarmLimit)
	}
}

func (r *ramp) fall() {
	r.limit = min(r.config.ColdLimit, r.config.WarmLimit)
	r.epoch++
}

// SetWarm takes the backend server's own word on its warmth. Cold after warm
// brings the limit down.
func (g *Gate) SetWarm(warm bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ramp.warm && !warm {
		g.ramp.fall()
	}
	g.ramp.warm = warm
}

// ResetLimit returns the limit to that of a cold start: the backend server started
// again, or another sign of cold was seen.
func (g *Gate) ResetLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ramp.fall()
}

// RecordFirstToken takes the time that an attempt's first token took and the time that
// the cost model gave it, and reports whether it was so far off that the limit
// fell. An attempt from before the last fall says nothing new.
func (g *Gate) RecordFirstToken(attempt string, took, expected time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.work[attempt]
	if !found || w.epoch != g.ramp.epoch || took <= slowFactor*expected+slowSlack {
		return false
	}
	g.ramp.fall()
	return true
}

// Cold reports whether the limit is still rising.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ramp.cold()
}
