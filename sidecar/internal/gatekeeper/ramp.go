package gatekeeper

import "time"

// A first token that takes longer than slowFactor times the cost model's
// estimate plus slowSlack is a sign of a cold start.
const (
	slowFactor = 8
	slowSlack  = time.Second
)

// ramp is the limit of concurrent requests with its slow start. While the
// backend server reports that it is cold, the limit is Config.ColdLimit. Then
// it rises by one with each finished request that was sent after the last
// reset, so it doubles in the duration of one request. Any sign of a cold start
// resets it immediately.
type ramp struct {
	config Config
	limit  int
	warm   bool // as the backend server reports
	epoch  int  // number of resets
}

func newRamp(config Config) ramp { return ramp{config: config, limit: config.ColdLimit} }

func (r *ramp) cold() bool { return r.limit < r.config.WarmLimit }

func (r *ramp) raise() {
	if r.warm {
		r.limit = min(r.limit+1, r.config.WarmLimit)
	}
}

func (r *ramp) reset() {
	r.limit = min(r.config.ColdLimit, r.config.WarmLimit)
	r.epoch++
}

// SetWarm records whether the backend server reports that it is warm. A change
// from warm to cold resets the limit.
func (g *Gate) SetWarm(warm bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ramp.warm && !warm {
		g.ramp.reset()
	}
	g.ramp.warm = warm
}

// ResetLimit resets the limit to that of a cold start, after a restart of the
// backend server or another sign of a cold start.
func (g *Gate) ResetLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ramp.reset()
}

// RecordFirstToken compares the duration until an attempt's first token with
// the cost model's estimate. If it took so long that it is a sign of a cold
// start, RecordFirstToken resets the limit and returns true. Attempts that were
// sent before the last reset are ignored.
func (g *Gate) RecordFirstToken(attempt string, took, expected time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.work[attempt]
	if !found || w.epoch != g.ramp.epoch || took <= slowFactor*expected+slowSlack {
		return false
	}
	g.ramp.reset()
	return true
}

// Cold reports whether the limit is below Config.WarmLimit.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ramp.cold()
}
