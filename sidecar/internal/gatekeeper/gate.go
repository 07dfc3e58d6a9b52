// Package gatekeeper decides whether a backend server takes a proposal, now.
// It is the last gate: every promise about what must not reach a backend
// server is kept here, whatever the entries believe.
//
// # Usage
//
//	g := gatekeeper.New(gatekeeper.Config{Cold: 2, Warm: 64})
//	if refused := g.Enter(proposal, facts); refused != nil { ... }
//	defer g.Leave(attempt, finished)
//
// A refusal by Enter is the only source of the words "not run".
package gatekeeper

import (
	"time"

	"bamboohill/wire"
)

// Refusal texts and pauses.
const (
	retryFull  = 200 * time.Millisecond
	retryOut   = 5 * time.Second
	retryStale = 50 * time.Millisecond
	retryDown  = time.Second
)

// Config describes a Gate.
type Config struct {
	Cold int // requests at once in a cold start
	Warm int // requests at once when warm
}

// Facts is what the sidecar knows at the moment of a decision.
type Facts struct {
	Boot     uint64 // of this sidecar
	Sequence uint64 // configuration in force here
	Out      bool   // the operators took the VM or its failure domain out
	Leaving  bool   // this sidecar is stopping
	Alive    bool   // the backend server answers
	Free     int64  // tokens of memory that nobody reserved
	Model    bool   // the model, version and adapter are loaded
}

// Gate holds what runs now and the limit. It is not safe for concurrent use.
type Gate struct {
	config   Config
	running  map[string]int64 // attempt to reserved tokens
	reserved int64
	limit    int
	finished int // since the limit last changed
}

// New returns a gate for a backend server in a cold start.
func New(config Config) *Gate {
	return &Gate{config: config, running: map[string]int64{}, limit: config.Cold}
}

// Limit returns how many requests the gate takes at once.
func (g *Gate) Limit() int { return g.limit }

// Running returns how many requests run now.
func (g *Gate) Running() int { return len(g.running) }

// Reserved returns the tokens of memory that running requests hold.
func (g *Gate) Reserved() int64 { return g.reserved }

// Enter takes a proposal and returns nil, or says why not.
func (g *Gate) Enter(p *wire.Proposal, f Facts) *wire.Refused {
	if r := g.refuse(p, f); r != nil {
		r.Outcome = wire.Outcome_OUTCOME_NOT_RUN
		if r.GetReason() == wire.Reason_REASON_DUPLICATE {
			r.Outcome = wire.Outcome_OUTCOME_UNKNOWN // the same attempt runs
		}
		return r
	}
	need := p.GetPrompt() + p.GetAnswer()
	g.running[p.GetAttempt()] = need
	g.reserved += need
	return nil
}

func (g *Gate) refuse(p *wire.Proposal, f Facts) *wire.Refused {
	no := func(reason wire.Reason, retry time.Duration) *wire.Refused {
		return &wire.Refused{Reason: reason, RetryMs: retry.Milliseconds()}
	}
	_, twice := g.running[p.GetAttempt()]
	switch {
	case f.Leaving:
		return no(wire.Reason_REASON_LEAVING, retryOut)
	case f.Out:
		return no(wire.Reason_REASON_OUT, retryOut)
	case p.GetSequence() < f.Sequence:
		return no(wire.Reason_REASON_STALE, retryStale)
	case p.GetBoot() != 0 && p.GetBoot() != f.Boot:
		return no(wire.Reason_REASON_BOOT, retryStale)
	case p.GetRemainingMs() <= 0:
		return no(wire.Reason_REASON_LATE, 0)
	case twice:
		return no(wire.Reason_REASON_DUPLICATE, 0)
	case !f.Alive:
		return no(wire.Reason_REASON_ENGINE, retryDown)
	case !f.Model:
		return no(wire.Reason_REASON_MODEL, retryDown)
	case len(g.running) >= g.limit && g.limit < g.config.Warm:
		return no(wire.Reason_REASON_COLD, retryFull)
	case len(g.running) >= g.limit:
		return no(wire.Reason_REASON_FULL, retryFull)
	case p.GetGang() == "" && p.GetPrompt()+p.GetAnswer() > f.Free:
		return no(wire.Reason_REASON_MEMORY, retryFull)
	}
	return nil
}

// Leave ends an attempt; finished says whether the backend server did the
// work, which raises the limit of a cold one.
func (g *Gate) Leave(attempt string, finished bool) {
	need, found := g.running[attempt]
	if !found {
		return
	}
	delete(g.running, attempt)
	g.reserved -= need
	if !finished || g.limit >= g.config.Warm {
		return
	}
	g.finished++
	if g.finished >= g.limit*raiseAfter {
		g.finished = 0
		g.limit = min(g.limit+1, g.config.Warm)
	}
}

// raiseAfter is how many finished requests for each unit of the limit raise
// it by one.
const raiseAfter = 2

// Fall returns the limit to that of a cold start.
func (g *Gate) Fall() {
	g.limit = g.config.Cold
	g.finished = 0
}
