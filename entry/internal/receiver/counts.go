package receiver

import (
	"expvar"

	"bamboohill/entry/internal/dispatcher"
)

// counts is what a receiver has done since its start.
type counts struct {
	requests expvar.Map // ended requests by outcome
	attempts expvar.Int
	reasons  expvar.Map // requests not answered, by the last attempt's reason
	refusals expvar.Map // requests refused before an attempt, by code
}

func (c *counts) ended(result dispatcher.Result) {
	c.requests.Add(result.Outcome.String(), 1)
	c.attempts.Add(int64(result.Attempts))
	if result.End == nil {
		c.reasons.Add(result.Reason.String(), 1)
	}
}

// Vars returns what the receiver counts: ended requests by outcome, attempts,
// requests without an answer by reason, requests refused before any attempt by
// code, and the bytes that bodies hold now.
func (r *Receiver) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"requests": &r.counts.requests,
		"attempts": &r.counts.attempts,
		"reasons":  &r.counts.reasons,
		"refusals": &r.counts.refusals,
		"body_bytes": expvar.Func(func() any {
			return r.bodies.held()
		}),
	}
}
