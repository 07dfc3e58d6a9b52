// Package gatekeeper is the admission control of one backend server: it
// decides whether a proposal may run there at this moment. It is the last
// check before the backend server, so every guarantee about what must not
// reach a backend server is enforced here, even if an entry's state is out of
// date.
//
// A Gate holds the concurrency limit with its slow start (ramp.go), the ledger
// of reserved memory (ledger.go), the reservations of gangs (gang.go) and what the
// backend server has said that it takes (statement.go). It
// reads no clock and makes no calls: the current time and the state of the
// backend server are parameters, and the actions to take on the backend server
// are return values.
//
// # Usage
//
//	g := gatekeeper.New(gatekeeper.Config{ColdLimit: 2, WarmLimit: 64})
//	if refused := g.Admit(proposal, facts); refused != nil { ... }
//	if refused := g.Confirm(attempt); refused != nil { ... }
//	... the backend server executes the attempt ...
//	g.Remove(attempt, finished)
//
// Admit reserves a slot, Confirm confirms it immediately before the backend
// server is called, and Remove frees it once the backend server is known to
// have stopped working on the attempt. Only a refusal by Admit or Confirm
// guarantees the outcome "not run".
package gatekeeper

import (
	"sync"
	"time"

	"bamboohill/wire"
)

// Delays after which a refused caller should retry.
const (
	retryCapacity     = 200 * time.Millisecond
	retryOutOfService = 5 * time.Second
	retryStale        = 50 * time.Millisecond
	retryDown         = time.Second
	retryIsolated     = 100 * time.Millisecond
)

// holdTimeout is how long after a suspect's last try the gate keeps refusing
// other requests so that the backend server becomes idle for the suspect.
const holdTimeout = 2 * time.Second

// Config describes a Gate.
type Config struct {
	ColdLimit int // concurrent requests during a cold start
	WarmLimit int // concurrent requests when warm
}

// Facts is the state of the sidecar and its backend server at the time of a
// decision.
type Facts struct {
	Now          time.Time
	Boot         uint64 // boot number of this sidecar
	Sequence     uint64 // sequence number of the sidecar's configuration
	OutOfService bool   // the operators took the VM or its failure domain out of service
	Leaving      bool   // this sidecar is shutting down, or the platform removes its VM
	Alive        bool   // the backend server responds
	Memory       int64  // total memory in tokens, 0 if unlimited
	ModelLoaded  bool   // the model is loaded, in the version that the proposal names
}

// work is an admitted attempt.
type work struct {
	need        int64 // tokens reserved
	gang        string
	fingerprint string
	isolated    bool // must be the only request in the backend server
	sent        bool // to the backend server
	epoch       int  // ramp.epoch when the attempt was sent
	missing     int  // consecutive audits that did not find it in the engine
}

// hold keeps other requests out until the backend server is idle for a
// suspect.
type hold struct {
	fingerprint string // of the suspect
	until       time.Time
}

// Gate tracks the admitted requests, their memory and the concurrency limit.
// It is safe for concurrent use.
type Gate struct {
	config Config

	mu      sync.Mutex
	ramp    ramp
	work    map[string]*work   // by attempt
	gangs   map[string]*gang   // by id
	orphans map[string]*orphan // by the engine's id
	exports map[string]export  // by handle
	hold    hold
	crashed uint64 // boot number of the engine in the last recorded crash
	wish    wish
}

// New returns a Gate for a cold backend server.
func New(config Config) *Gate {
	return &Gate{
		config: config, ramp: newRamp(config), work: map[string]*work{}, gangs: map[string]*gang{},
		orphans: map[string]*orphan{}, exports: map[string]export{},
	}
}

// Limit returns the current limit of concurrent requests.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ramp.limit
}

// Running returns how many requests count against the limit: admitted attempts
// without a gang, reservations of gangs, and orphaned jobs in the engine.
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
	for _, o := range g.orphans {
		if !o.export {
			n++
		}
	}
	return n
}

// Admit reserves a slot and memory for a proposal and returns nil, or returns
// the reason for the refusal.
func (g *Gate) Admit(p *wire.Proposal, f Facts) *wire.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.refuse(p, f); r != nil {
		return r
	}
	w := &work{gang: p.GetGang(), fingerprint: p.GetFingerprint(), isolated: p.GetAlone()}
	if w.gang == "" {
		w.need = p.GetPrompt() + p.GetAnswer()
	}
	if w.isolated {
		g.hold = hold{}
	}
	g.wish.take()
	g.work[p.GetAttempt()] = w
	return nil
}

// refuse returns the refusal of a proposal, or nil if it can be admitted.
func (g *Gate) refuse(p *wire.Proposal, f Facts) *wire.Refused {
	_, duplicate := g.work[p.GetAttempt()]
	switch {
	case f.Leaving:
		return refusal(wire.Reason_REASON_LEAVING, retryOutOfService)
	case f.OutOfService:
		return refusal(wire.Reason_REASON_OUT, retryOutOfService)
	case p.GetSequence() < f.Sequence:
		return refusal(wire.Reason_REASON_STALE, retryStale)
	case p.GetBoot() != 0 && p.GetBoot() != f.Boot:
		return refusal(wire.Reason_REASON_BOOT, retryStale)
	case p.GetRemainingMs() <= 0:
		return refusal(wire.Reason_REASON_LATE, 0)
	case duplicate: // the attempt is already admitted and may run
		return &wire.Refused{Reason: wire.Reason_REASON_DUPLICATE, Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	case !f.Alive:
		return refusal(wire.Reason_REASON_ENGINE, retryDown)
	case !f.ModelLoaded:
		return refusal(wire.Reason_REASON_MODEL, retryDown)
	}
	if r := g.wish.refuse(f.Now); r != nil {
		return r
	}
	if r := g.refuseIsolation(p, f.Now); r != nil {
		return r
	}
	if p.GetGang() != "" {
		return g.refuseMember(p, f.Now)
	}
	return g.refuseCapacity(p.GetPrompt()+p.GetAnswer(), f.Memory)
}

// refuseCapacity refuses a request that exceeds the concurrency limit or whose
// tokens exceed the free memory.
func (g *Gate) refuseCapacity(need, memory int64) *wire.Refused {
	running := g.running()
	switch {
	case running >= g.ramp.limit && g.ramp.cold():
		return refusal(wire.Reason_REASON_COLD, retryCapacity)
	case running >= g.ramp.limit:
		return refusal(wire.Reason_REASON_FULL, retryCapacity)
	case memory > 0 && need > memory-g.reserved():
		return refusal(wire.Reason_REASON_MEMORY, retryCapacity)
	}
	return nil
}

// refuseIsolation refuses requests that would run together with a suspect. A
// suspect that arrives while other requests run sets a hold, so that the
// backend server becomes idle.
func (g *Gate) refuseIsolation(p *wire.Proposal, now time.Time) *wire.Refused {
	held := now.Before(g.hold.until)
	for _, w := range g.work {
		if w.isolated {
			return refusal(wire.Reason_REASON_ALONE, retryIsolated)
		}
	}
	if !p.GetAlone() {
		if held {
			return refusal(wire.Reason_REASON_ALONE, retryCapacity)
		}
		return nil
	}
	if held && g.hold.fingerprint != p.GetFingerprint() {
		return refusal(wire.Reason_REASON_ALONE, retryIsolated)
	}
	if g.running() > 0 {
		g.hold = hold{fingerprint: p.GetFingerprint(), until: now.Add(holdTimeout)}
		return refusal(wire.Reason_REASON_ALONE, retryIsolated)
	}
	return nil
}

func refusal(reason wire.Reason, retry time.Duration) *wire.Refused {
	return &wire.Refused{Reason: reason, Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryMs: retry.Milliseconds()}
}

// Confirm marks an attempt as sent to the backend server. If the limit has
// dropped since Admit, to no more than what runs in the backend server, Confirm
// removes the attempt and returns a refusal. It must be called immediately
// before the backend server is called.
func (g *Gate) Confirm(attempt string) *wire.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.work[attempt]
	if !found {
		return refusal(wire.Reason_REASON_LATE, 0)
	}
	if g.sent() >= g.ramp.limit {
		delete(g.work, attempt)
		return refusal(wire.Reason_REASON_COLD, retryCapacity)
	}
	w.sent = true
	w.epoch = g.ramp.epoch
	return nil
}

// sent returns how many requests the backend server runs.
func (g *Gate) sent() int {
	n := 0
	for _, w := range g.work {
		if w.sent {
			n++
		}
	}
	for _, o := range g.orphans {
		if !o.export {
			n++
		}
	}
	return n
}

// Remove frees an attempt's slot and memory. It must not be called before the
// backend server is known to have stopped working on the attempt: the attempt
// ended, was refused, or its cancellation was confirmed. finished says whether
// the backend server completed the work, which raises the limit.
func (g *Gate) Remove(attempt string, finished bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, found := g.work[attempt]
	if !found {
		return
	}
	delete(g.work, attempt)
	if finished && w.sent && w.epoch == g.ramp.epoch {
		g.ramp.raise()
	}
}

// RecordCrash records that the engine with the given boot number died. It
// returns accusations of the requests that ran in it and have a fingerprint,
// which become suspects, and whether the crash was not recorded before. It
// resets the limit to that of a cold start and ends the reservations of gangs.
func (g *Gate) RecordCrash(boot uint64) ([]*wire.Accusation, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if boot == g.crashed {
		return nil, false
	}
	g.ramp.reset()
	g.crashed = boot
	alone := g.sent() == 1
	var suspects []*wire.Accusation
	for _, w := range g.work {
		if w.sent && w.fingerprint != "" {
			suspects = append(suspects, &wire.Accusation{Fingerprint: w.fingerprint, Boot: boot, Alone: alone})
		}
	}
	g.orphans = map[string]*orphan{}
	g.exports = map[string]export{}
	for _, m := range g.gangs {
		m.until = time.Time{}
	}
	return suspects, true
}

// Crashed reports whether the last recorded crash is that of the engine with
// the given boot number.
func (g *Gate) Crashed(boot uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return boot == g.crashed
}
