package receiver

import (
	"expvar"

	"bamboohill/entry/internal/dispatcher"
)

// counts holds the counters of a receiver since its start.
type counts struct {
	requests expvar.Map // completed requests by outcome
	attempts expvar.Int
	reasons  expvar.Map // unanswered requests by the reason of the last attempt
	refusals expvar.Map // requests refused before the first attempt, by code
}

func (c *counts) recordEnd(result dispatcher.Result) {
	c.requests.Add(result.Outcome.String(), 1)
	c.attempts.Add(int64(result.Attempts))
	if result.End == nil {
		c.reasons.Add(result.Reason.String(), 1)
	}
}

// Vars returns the metrics of the receiver: completed requests by outcome,
// attempts, unanswered requests by reason, requests refused before the first
// attempt by code, and the bytes of the bodies currently in memory.
func (r *Receiver) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"requests": &r.counts.requests,
		"attempts": &r.counts.attempts,
		"reasons":  &r.counts.reasons,
		"refusals": &r.counts.refusals,
		"body_bytes": expvar.Func(func() any {
			return r.bodies.inUse()
		}),
	}
}
