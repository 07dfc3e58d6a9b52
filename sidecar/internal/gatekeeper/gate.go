// Package gatekeeper decides whether a backend server takes a proposal, now.
// It is the last gate: every promise about what must not reach a backend
// server is kept here, whatever the entries believe.
//
// A Gate holds the limit of a cold start (ramp.go), the ledger of memory
// (ledger.go) and the reservations of gangs (gang.go). It reads no clock and
// calls nobody: the moment and what is known of the backend server are passed
// in, and what must be done about the backend server is handed back.
//
// # Usage
//
//	g := gatekeeper.New(gatekeeper.Config{Cold: 2, Warm: 64})
//	if refused := g.Enter(proposal, facts); refused != nil { ... }
//	if refused := g.Hand(attempt); refused != nil { ... }
//	... the backend server works ...
//	g.Leave(attempt, finished)
//
// Enter reserves a place, Hand confirms it in the moment before the backend
// server is called, Leave frees it once the backend server is known to have
// let go. A refusal by Enter or Hand is the only source of the words "not
// run".
package gatekeeper

import (
	"sync"
	"time"

	"bamboohill/wire"
)

// Pauses that refusals ask for.
const (
	retryFull  = 200 * time.Millisecond
	retryOut   = 5 * time.Second
	retryStale = 50 * time.Millisecond
	retryDown  = time.Second
	retryAlone = 100 * time.Millisecond
)

// holdLimit is how long a gate that waits to be empty for a suspect takes no
// other work after the suspect's last try.
const holdLimit = 2 * time.Second

// Config describes a Gate.
type Config struct {
	ColdLimit int // requests at once in a cold start
	WarmLimit int // requests at once when warm
}

// Facts is what the sidecar knows at the moment of a decision.
type Facts struct {
	Now          time.Time
	Boot         uint64 // of this sidecar
	Sequence     uint64 // configuration in force here
	OutOfService bool   // the operators took the VM or its failure domain out
	Leaving      bool   // this sidecar is stopping
	Alive        bool   // the backend server answers
	Memory       int64  // tokens of memory in all, 0 if it has no bound
	ModelLoaded  bool   // the model, version and adapter are loaded
}

// work is one attempt that the gate let in.
type work struct {
	need        int64 // tokens reserved
	gang        string
	fingerprint string
	alone       bool
	handed      bool
	epoch       int // of the ramp when it was handed over
	missing     int // audits that did not find it
}

// hold keeps the gate empty for a suspect.
type hold struct {
	fingerprint string
	until       time.Time
}

// Gate holds what runs now and the limit. It is safe for concurrent use.
type Gate struct {
	config Config

	mu      sync.Mutex
	ramp    ramp
	work    map[string]*work    // by attempt
	gangs   map[string]*gang    // by id
	strange map[string]*strange // by the engine's id
	exports map[string]export   // by handle
	hold    hold
	crashed uint64 // boot of the engine whose crash was last told
}

// New returns a gate for a backend server in a cold start.
func New(config Config) *Gate {
	return &Gate{
		config: config, ramp: newRamp(config), work: map[string]*work{}, gangs: map[string]*gang{},
		strange: map[string]*strange{}, exports: map[string]export{},
	}
}

// Limit returns how many requests the gate takes at once.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ramp.limit
}

// Running returns how many requests count against the limit: those let in,
// reservations of gangs, and what the engine runs for nobody.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running()
}

func (g *Gate) running() int {
	n := len(g.gangs)
	for _, w := range g.work {
		if w.gang == "" {
			n++
		}
	}
	for _, s := range g.strange {
		if !s.export {
			n++
		}
	}
	return n
}

// Admit reserves a place for a proposal and returns nil, or says why not.
func (g *Gate) Admit(p *wire.Proposal, f Facts) *wire.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.refuse(p, f); r != nil {
		return r
	}
	w := &work{gang: p.GetGang(), fingerprint: p.GetFingerprint(), alone: p.GetAlone()}
	if w.gang == "" {
		w.need = p.GetPrompt() + p.GetAnswer()
	}
	if w.alone {
		g.hold = hold{}
	}
	g.work[p.GetAttempt()] = w
	return nil
}

func (g *Gate) refuse(p *wire.Proposal, f Facts) *wire.Refused {
	_, twice := g.work[p.GetAttempt()]
	switch {
	case f.Leaving:
		return refusal(wire.Reason_REASON_LEAVING, retryOut)
	case f.OutOfService:
		return refusal(wire.Reason_REASON_OUT, retryOut)
	case p.GetSequence() < f.Sequence:
		return refusal(wire.Reason_REASON_STALE, retryStale)
	case p.GetBoot() != 0 && p.GetBoot() != f.Boot:
		return refusal(wire.Reason_REASON_BOOT, retryStale)
	case p.GetRemainingMs() <= 0:
		return refusal(wire.Reason_REASON_LATE, 0)
	case twice: // the same attempt is in hand
		return &wire.Refused{Reason: wire.Reason_REASON_DUPLICATE, Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	case !f.Alive:
		return refusal(wire.Reason_REASON_ENGINE, retryDown)
	case !f.ModelLoaded:
		return refusal(wire.Reason_REASON_MODEL, retryDown)
	}
	if r := g.refuseAlone(p, f.Now); r != nil {
		return r
	}
	if p.GetGang() != "" {
		return g.refuseMember(p, f.Now)
	}
	return g.refuseRoom(p.GetPrompt()+p.GetAnswer(), f.Memory)
}

// refuseRoom says whether one more request of the given tokens has no place.
func (g *Gate) refuseRoom(need, memory int64) *wire.Refused {
	running := g.running()
	switch {
	case running >= g.ramp.limit && g.ramp.cold():
		return refusal(wire.Reason_REASON_COLD, retryFull)
	case running >= g.ramp.limit:
		return refusal(wire.Reason_REASON_FULL, retryFull)
	case memory > 0 && need > memory-g.reserved():
		return refusal(wire.Reason_REASON_MEMORY, retryFull)
	}
	return nil
}

// refuseAlone keeps suspects and other work apart. A suspect that finds the
// gate in use holds it, so that it empties.
func (g *Gate) refuseAlone(p *wire.Proposal, now time.Time) *wire.Refused {
	held := now.Before(g.hold.until)
	for _, w := range g.work {
		if w.alone {
			return refusal(wire.Reason_REASON_ALONE, retryAlone)
		}
	}
	if !p.GetAlone() {
		if held {
			return refusal(wire.Reason_REASON_ALONE, retryFull)
		}
		return nil
	}
	if held && g.hold.fingerprint != p.GetFingerprint() {
		return refusal(wire.Reason_REASON_ALONE, retryAlone)
	}
	if g.running() > 0 {
		g.hold = hold{fingerprint: p.GetFingerprint(), until: now.Add(holdLimit)}
		return refusal(wire.Reason_REASON_ALONE, retryAlone)
	}
	return nil
}

func refusal(reason wire.Reason, retry time.Duration) *wire.Refused {
	return &wire.Refused{Reason: reason, Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryMs: retry.Milliseconds()}
}

// Confirm marks an attempt as handed over to the backend server, or refuses it if
// the limit has fallen below what runs there since it entered; the attempt has
// then left. It must be called in the moment before the backend server is.
func (g *Gate) Confirm(attempt string) *wire.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.work[attempt]
	if !found {
		return refusal(wire.Reason_REASON_LATE, 0)
	}
	if g.handed() >= g.ramp.limit {
		delete(g.work, attempt)
		return refusal(wire.Reason_REASON_COLD, retryFull)
	}
	w.handed = true
	w.epoch = g.ramp.epoch
	return nil
}

// handed returns how many requests are in the backend server.
func (g *Gate) handed() int {
	n := 0
	for _, w := range g.work {
		if w.handed {
			n++
		}
	}
	for _, s := range g.strange {
		if !s.export {
			n++
		}
	}
	return n
}

// Remove frees an attempt's place. It must not be called before the backend
// server is known to have let go of the attempt: by its end, by a refusal, or
// by a confirmed cancellation. finished says whether the backend server did
// the work, which raises the limit.
func (g *Gate) Remove(attempt string, finished bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.work[attempt]
	if !found {
		return
	}
	delete(g.work, attempt)
	if finished && w.handed && w.epoch == g.ramp.epoch {
		g.ramp.rise()
	}
}

// RecordCrash tells that the engine of the given boot number died and returns the
// requests that were in it, the suspects, and whether this crash is news. The limit returns to that of a cold start and the reservations
// of gangs are over.
func (g *Gate) RecordCrash(boot uint64) ([]*wire.Accusation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if boot == g.crashed {
		return nil, false
	}
	g.ramp.fall()
	g.crashed = boot
	alone := g.handed() == 1
	var suspects []*wire.Accusation
	for _, w := range g.work {
		if w.handed && w.fingerprint != "" {
			suspects = append(suspects, &wire.Accusation{Fingerprint: w.fingerprint, Boot: boot, Alone: alone})
		}
	}
	g.strange = map[string]*strange{}
	g.exports = map[string]export{}
	for _, m := range g.gangs {
		m.until = time.Time{}
	}
	return suspects, true
}

// Crashed reports whether the engine of the given boot number is known to have
// died.
func (g *Gate) Crashed(boot uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return boot == g.crashed
}
