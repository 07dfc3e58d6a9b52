package server

import (
	"context"
	"sync"
	"sync/atomic"

	"bamboohill/core/generator"
)

// attempt is one piece of work under way in a model engine.
type attempt struct {
	cancel context.CancelFunc
	gang   bool
	moved  chan generator.Cache // holds the exported cache of a stream handed over
}

// attempts holds the work under way in a model engine.
type attempts struct {
	offered atomic.Int64 // prompt tokens handed over so far

	mu   sync.Mutex
	live map[string]*attempt
}

func newAttempts() *attempts { return &attempts{live: map[string]*attempt{}} }

func (a *attempts) begin(id string, gang bool, cancel context.CancelFunc) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &attempt{cancel: cancel, gang: gang, moved: make(chan generator.Cache, 1)}
	a.live[id] = t
	return t
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
