package gauger

import (
	"math"
	"time"
)

// logisticScale makes a logistic distribution resemble a normal one of the same standard
// deviation.
const logisticScale = 1.7

// LateRate returns the expected fraction of the calls of a plain route that exceed a target
// because a server works the given factor slower than normal: 0 if it is not slow, if there
// is no target, or as long as the usual duration of the calls is unknown.
func (g *Gauger) LateRate(route string, slowdown float64, target time.Duration) float64 {
	if slowdown <= 1 || target <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usual[route]
	if u == nil || u.calls < minCalls {
		return 0
	}
	late := func(log float64) float64 {
		return 1 / (1 + math.Exp(logisticScale*(math.Log(target.Seconds())-log)/calls.spread))
	}
	return late(u.log+math.Log(slowdown)) - late(u.log)
}

// Usual returns the usual duration of the calls of a plain route at this entry, 0 as long as
// it is unknown.
func (g *Gauger) Usual(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usual[route]
	if u == nil || u.calls < minCalls {
		return 0
	}
	return time.Duration(math.Exp(u.log) * float64(time.Second))
}
