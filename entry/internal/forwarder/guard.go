package forwarder

import (
	"context"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Limits of the silence timeout of a backend server. A model engine that lost a
// helper stalls for 1.5 s. Callers disconnect from a silent stream after 2 s or
// more.
const (
	minStreamSilence = 1200 * time.Millisecond
	silenceGapFactor = 3 // silence timeout of a started stream, as a multiple of the route's TargetGap
	minCallSilence   = 150 * time.Millisecond
)

// guard cancels one send if its backend server is silent for too long and the
// request may be sent again. Silence alone is no reason to abort an answer.
type guard struct {
	ctx        context.Context
	cancel     context.CancelFunc
	mayAbandon func(wait time.Duration, waits int) bool

	mu    sync.Mutex
	timer *time.Timer
	wait  time.Duration
	waits int // timeouts that have passed without data
}

// watch starts the guard of a send.
func (x *exchange) watch(ctx context.Context, p placement) *guard {
	h := x.history // without this send
	g := &guard{mayAbandon: func(wait time.Duration, waits int) bool { return x.mayAbandon(p, h, wait, waits) }}
	g.ctx, g.cancel = context.WithCancel(ctx)
	switch x.route.Kind {
	case viewer.Streaming:
		g.reset(max(minStreamSilence, x.route.TargetLatency+2*p.expected))
	case viewer.Idempotent:
		g.reset(max(minCallSilence, 2*x.route.TargetLatency))
	case viewer.AtMostOnce:
		// No other backend server may run the request.
	}
	return g
}

// maxSlowWaits is the number of silence timeouts after which a server that still
// sends answers to other requests is abandoned. Such a server is slow rather than
// dead, and another one would have to repeat the prefill.
const maxSlowWaits = 3

// mayAbandon reports whether the send to a backend server that was silent for
// waits timeouts may be canceled in favor of another server. If so, it takes the
// retry from the retry budget. The history is that before the send. A stopping process
// stays with a server that has begun to answer: if no other one takes the rest in time,
// the answer is cut, and the end of a connection tells if the server has ended.
func (x *exchange) mayAbandon(p placement, h history, wait time.Duration, waits int) bool {
	if x.relay.started.Load() && x.forwarder.isStopping() {
		return false
	}
	if waits < maxSlowWaits && x.forwarder.Ejector.AnsweredSince(p.server.ID, time.Now().Add(-wait)) {
		return false
	}
	h.sends++
	h.runs++
	h.remaining = time.Until(x.deadline)
	h.started = x.relay.started.Load()
	if p.choices < 2 || !mayResend(h, sendBroken) {
		return false
	}
	if !x.mayRetry(time.Now()) {
		return false
	}
	x.retryPaid.Store(true)
	return true
}

// reset restarts the timer with a new timeout.
func (g *guard) reset(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wait, g.waits = wait, 0
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.onSilence)
		return
	}
	g.timer.Reset(wait)
}

// onSilence cancels the send if that is allowed. Otherwise it checks again after
// another timeout.
func (g *guard) onSilence() {
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	g.waits++
	wait, waits := g.wait, g.waits
	g.mu.Unlock()
	if g.mayAbandon(wait, waits) {
		g.cancel()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.Reset(g.wait)
}

// stop cancels the context of the send and stops the timer.
func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel()
	if g.timer != nil {
		g.timer.Stop()
	}
}
