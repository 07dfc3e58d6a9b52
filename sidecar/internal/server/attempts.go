package server

import (
	"context"
	"sync"
	"sync/atomic"

	"bamboohill/core/generator"
	"bamboohill/core/router"
	"bamboohill/wire"
)

// attempt is an attempt that runs in a model engine.
type attempt struct {
	cancel        context.CancelFunc
	gang          bool
	prefillTokens int64                // of the prompt without its cached part, 0 once the first token arrived
	exported      chan generator.Cache // carries the exported cache of a migrated stream, buffered for one
}

// attempts holds the attempts that run in a model engine.
type attempts struct {
	offeredTokens atomic.Int64 // prompt tokens sent to the engine so far

	mu      sync.Mutex
	running map[string]*attempt
	ended   bool // all attempts are canceled, as the sidecar ends
}

func newAttempts() *attempts { return &attempts{running: map[string]*attempt{}} }

// add adds the attempt of a proposal.
func (a *attempts) add(p *wire.Proposal, cancel context.CancelFunc) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := p.GetAttempt()
	t := &attempt{cancel: cancel, gang: p.GetGang() != "", prefillTokens: max(0, p.GetPrompt()-p.GetCached()), exported: make(chan generator.Cache, 1)}
	a.running[id] = t
	if a.ended {
		cancel()
	}
	return t
}

// recordFirstToken records that an attempt's first token arrived, so its prefill
// is done.
func (a *attempts) recordFirstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, found := a.running[id]; found {
		t.prefillTokens = 0
	}
}

// waitingTokens returns the prefill tokens of short and of long prompts whose
// first token has not arrived.
func (a *attempts) waitingTokens() (short, long int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.running {
		switch {
		case t.prefillTokens <= router.ShortTokens:
			short += t.prefillTokens
		case t.prefillTokens >= router.LongTokens:
			long += t.prefillTokens
		}
	}
	return short, long
}

func (a *attempts) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, id)
}

// cancel cancels the attempts with the given ids.
func (a *attempts) cancel(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if t, found := a.running[id]; found {
			t.cancel()
		}
	}
}

// cancelAll cancels every attempt, and all later ones.
func (a *attempts) cancelAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	for _, t := range a.running {
		t.cancel()
	}
}

// haveEnded reports whether cancelAll was called.
func (a *attempts) haveEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}

// exportable returns the ids of the attempts that can be migrated: all but the
// members of gangs.
func (a *attempts) exportable() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for id, t := range a.running {
		if !t.gang {
			ids = append(ids, id)
		}
	}
	return ids
}

// setExported passes an exported cache to the attempt's goroutine.
func (a *attempts) setExported(id string, cache generator.Cache) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, found := a.running[id]; found {
		select {
		case t.exported <- cache:
		default:
		}
	}
}

func (a *attempts) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running)
}
