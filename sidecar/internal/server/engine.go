package server

import (
	"context"
	"sync"
	"time"

	"bamboohill/core/generator"
	"bamboohill/wire"
)

// engine holds the last status of the model engine.
type engine struct {
	*generator.Engine
	// onStatus is called with the previous and the new status of each successful
	// probe, before the callers that wait for the probe return.
	onStatus func(old, status generator.Status)

	probing sync.Mutex // held during a probe, one at a time

	mu      sync.Mutex
	status  generator.Status
	alive   bool   // the last probe succeeded
	audited bool   // the first audit is done
	next    *probe // not yet started, nil if none
}

// probe is one request for the engine's status.
type probe struct {
	done chan struct{} // closed at the end
	err  error
}

func newEngine(port *generator.Engine, onStatus func(old, status generator.Status)) *engine {
	return &engine{Engine: port, onStatus: onStatus}
}

// refresh reads the engine's status and returns after a probe that started after
// the call. Concurrent callers share one probe. The error is that of the probe, or
// of the context if it ends first.
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

// runProbe runs a probe after the one that is under way.
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

// lastStatus returns the newest status and whether the engine responds and has
// been audited since the start of this sidecar.
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

// applyStatus updates the gate with a new status. A new boot number means that
// the engine of the old one crashed.
func (s *Server) applyStatus(old, status generator.Status) {
	if old.Boot != 0 && old.Boot != status.Boot {
		s.recordCrash(old.Boot)
		s.forgetStatements()
	}
	s.gate.SetWarm(status.Warm)
}

// offers reports whether the proposal's model is loaded, in its version if the
// proposal names one. It does not check the adapter.
func offers(models []generator.Model, p *wire.Proposal) bool {
	for _, m := range models {
		if m.Name == p.GetModel() && (p.GetVersion() == "" || m.Version == p.GetVersion()) {
			return true
		}
	}
	return false
}

// expectedPrefillTime returns the cost model's upper estimate of the time to a
// first token that waits for the given number of prefill tokens, or 0 if the
// engine reports no prefill rate.
func (e *engine) expectedPrefillTime(tokens int64) time.Duration {
	status, _ := e.lastStatus()
	if status.Prefill <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / status.Prefill * float64(time.Second))
}
