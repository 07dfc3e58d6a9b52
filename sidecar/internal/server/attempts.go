package server

import (
	"context"
	"sync"
	"sync/atomic"

	"bamboohill/core/generator"
	"bamboohill/core/router"
	"bamboohill/wire"
)

// attempt is one piece of work under way in a model engine.
type attempt struct {
	cancel        context.CancelFunc
	gang          bool
	prefillTokens int64                // tokens, 0 once the first token came
	exported      chan generator.Cache // holds the exported cache of a stream handed over
}

// attempts holds the work under way in a model engine.
type attempts struct {
	offeredTokens atomic.Int64 // prompt tokens handed over so far

	mu      sync.Mutex
	running map[string]*attempt
}

func newAttempts() *attempts { return &attempts{running: map[string]*attempt{}} }

func (a *attempts) add(p *wire.Proposal, cancel context.CancelFunc) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := p.GetAttempt()
	t := &attempt{cancel: cancel, gang: p.GetGang() != "", prefillTokens: max(0, p.GetPrompt()-p.GetCached()), exported: make(chan generator.Cache, 1)}
	a.running[id] = t
	return t
}

// recordFirstToken notes the recordFirstToken token of an attempt: its prefill is done.
func (a *attempts) recordFirstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, found := a.running[id]; found {
		t.prefillTokens = 0
	}
}

// waitingTokens returns the prompt tokens of short and of long prompts whose first
// token has not come.
func (a *attempts) waitingTokens() (briefs, longs int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.running {
		switch {
		case t.prefillTokens <= router.ShortTokens:
			briefs += t.prefillTokens
		case t.prefillTokens >= router.LongTokens:
			longs += t.prefillTokens
		}
	}
	return briefs, longs
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

// cancelAll cancels every attempt.
func (a *attempts) cancelAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.running {
		t.cancel()
	}
}

// exportable returns the ids of the attempts that can be handed over: a member of
// a gang can't.
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

// setExported leaves an exported cache for the attempt's own goroutine.
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
