package server

import (
	"context"
	"sync"
	"time"

	"bamboohill/core/generator"
	"bamboohill/wire"
)

// engine holds what the model engine last said of itself.
type engine struct {
	*generator.Engine
	// onStatus is called with each answer, before anyone that waits for it
	// goes on.
	onStatus func(old, status generator.Status)

	probing sync.Mutex // one probe at a time

	mu      sync.Mutex
	status  generator.Status
	alive   bool
	audited bool   // the first audit is done
	next    *probe // not yet begun
}

// probe is one question for the engine's status.
type probe struct {
	done chan struct{}
	err  error
}

func newEngine(port *generator.Engine, observed func(old, status generator.Status)) *engine {
	return &engine{Engine: port, onStatus: observed}
}

// refresh asks the engine for its status and returns once an answer is in that
// was asked for after the call began. Callers at one moment share one probe.
func (e *engine) refresh(ctx context.Context) error {
	e.mu.Lock()
	p := e.next
	if p == nil {
		p = &probe{done: make(chan struct{})}
		e.next = p
		go e.runProbe(p)
	}
	e.mu.Unlock()
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) runProbe(p *probe) {
	e.probing.Lock()
	defer e.probing.Unlock()
	defer close(p.done)
	e.mu.Lock()
	e.next = nil
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := e.Status(ctx)
	e.mu.Lock()
	old := e.status
	e.alive = err == nil
	if err == nil {
		e.status = status
	}
	e.mu.Unlock()
	p.err = err
	if err == nil {
		e.onStatus(old, status)
	}
}

// lastStatus returns the newest status and whether the engine answers and has been
// audited since this sidecar began.
func (e *engine) lastStatus() (generator.Status, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status, e.alive && e.audited
}

func (e *engine) setAudited() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.audited = true
}

// applyStatus takes the engine's status to the gate.
func (s *Server) applyStatus(old, status generator.Status) {
	if old.Boot != 0 && old.Boot != status.Boot {
		s.recordCrash(old.Boot)
	}
	s.gate.SetWarm(status.Warm)
}

func offers(models []generator.Model, p *wire.Proposal) bool {
	for _, m := range models {
		if m.Name == p.GetModel() && (p.GetVersion() == "" || m.Version == p.GetVersion()) {
			return true
		}
	}
	return false
}

// expectedPrefillTime returns the longest time that the cost model gives a first token
// behind the given prefill tokens.
func (e *engine) expectedPrefillTime(tokens int64) time.Duration {
	status, _ := e.lastStatus()
	if status.Prefill <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / status.Prefill * float64(time.Second))
}
