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
	cancel context.CancelFunc
	gang   bool
	prompt int64                // tokens, 0 once the first token came
	moved  chan generator.Cache // holds the exported cache of a stream handed over
}

// attempts holds the work under way in a model engine.
type attempts struct {
	offered atomic.Int64 // prompt tokens handed over so far

	mu   sync.Mutex
	live map[string]*attempt
}

func newAttempts() *attempts { return &attempts{live: map[string]*attempt{}} }

func (a *attempts) begin(p *wire.Proposal, cancel context.CancelFunc) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := p.GetAttempt()
	t := &attempt{cancel: cancel, gang: p.GetGang() != "", prompt: max(0, p.GetPrompt()-p.GetCached()), moved: make(chan generator.Cache, 1)}
	a.live[id] = t
	return t
}

// first notes the first token of an attempt: its prefill is done.
func (a *attempts) first(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, found := a.live[id]; found {
		t.prompt = 0
	}
}

// waiting returns the prompt tokens of short and of long prompts whose first
// token has not come.
func (a *attempts) waiting() (briefs, longs int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.live {
		switch {
		case t.prompt <= router.ShortTokens:
			briefs += t.prompt
		case t.prompt >= router.LongTokens:
			longs += t.prompt
		}
	}
	return briefs, longs
}

func (a *attempts) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.live, id)
}

// end cancels the attempts with the given ids.
func (a *attempts) end(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if t, found := a.live[id]; found {
			t.cancel()
		}
	}
}

// endAll cancels every attempt.
func (a *attempts) endAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.live {
		t.cancel()
	}
}

// streams returns the ids of the attempts that can be handed over: a member of
// a gang can't.
func (a *attempts) streams() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for id, t := range a.live {
		if !t.gang {
			ids = append(ids, id)
		}
	}
	return ids
}

// move leaves an exported cache for the attempt's own goroutine.
func (a *attempts) move(id string, cache generator.Cache) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, found := a.live[id]; found {
		select {
		case t.moved <- cache:
		default:
		}
	}
}

func (a *attempts) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.live)
}
