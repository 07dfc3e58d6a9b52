package forwarder

import (
	"context"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Bounds of the wait for a silent backend server. A model engine that lost a
// helper stalls for 1.5 s; callers leave a silent stream after 2 s or more.
const (
	silenceLeast = 1200 * time.Millisecond
	silenceGaps  = 3 // pauses that the route allows
	callLeast    = 150 * time.Millisecond
)

// guard watches one send for silence. A silent backend server is left only if
// the request may be sent once more: silence alone is no reason to end an
// answer.
type guard struct {
	ctx    context.Context
	cancel context.CancelFunc
	may    func(wait time.Duration, waits int) bool

	mu    sync.Mutex
	timer *time.Timer
	wait  time.Duration
	waits int // that have passed in silence
}

// watch starts a guard for a send.
func (x *exchange) watch(ctx context.Context, p placement) *guard {
	g := &guard{may: func(wait time.Duration, waits int) bool { return x.mayLeave(p, wait, waits) }}
	g.ctx, g.cancel = context.WithCancel(ctx)
	switch x.route.Kind {
	case viewer.Streaming:
		g.reset(max(silenceLeast, x.route.TargetLatency+2*p.expected))
	case viewer.Idempotent:
		g.reset(max(callLeast, 2*x.route.TargetLatency))
	case viewer.AtMostOnce:
		// Nobody else may run it.
	}
	return g
}

// patientWaits is how many waits a server that still writes to others is given:
// it is slow rather than dead, and its reading would be done twice.
const patientWaits = 3

// mayLeave reports whether a backend server that was silent for a number of
// waits may be left for another, and takes the repeat from the budget if so.
func (x *exchange) mayLeave(p placement, wait time.Duration, waits int) bool {
	if waits < patientWaits && x.forwarder.Ejector.RespondedSince(p.server.ID, time.Now().Add(-wait)) {
		return false
	}
	h := x.history
	h.sends++
	h.runs++
	h.left = time.Until(x.deadline)
	h.begun = x.relay.begun
	if p.choices < 2 || !next(h, fateBroken) {
		return false
	}
	f := x.forwarder
	if !f.Budgeter.Retry(x.service.Name, f.Entries(), time.Now()) {
		return false
	}
	x.paid.Store(true)
	return true
}

// reset starts the wait anew.
func (g *guard) reset(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wait, g.waits = wait, 0
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.expire)
		return
	}
	g.timer.Reset(wait)
}

// expire leaves the backend server if that is allowed, and asks again later
// otherwise.
func (g *guard) expire() {
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	g.waits++
	wait, waits := g.wait, g.waits
	g.mu.Unlock()
	if g.may(wait, waits) {
		g.cancel()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Reset(g.wait)
}

// stop ends the watch.
func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel()
	if g.timer != nil {
		g.timer.Stop()
	}
}
