package gatekeeper

import (
	"time"

	"bamboohill/core/permitter"
	"bamboohill/core/translator"
	"bamboohill/wire"
)

// maxPermits is the number of unused requests of a limit that are kept for later. In any
// four seconds the backend server gets at most four seconds of its limit and maxPermits.
const maxPermits = 2.0

// wish is what the backend server has said that it takes. The zero value is that of one
// that has said nothing.
type wish struct {
	limit   permitter.Limit
	permits float64
	filled  time.Time // when permits was last computed
	rest    time.Time // until when it wants no request
}

// Hear records what an answer of the backend server says, to a request that was sent at
// asked. A zero asked means that the answer can't end a limit.
func (g *Gate) Hear(said translator.Statement, asked, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wish.fill(now)
	if !said.LimitInvalid {
		g.wish.limit.Apply(said.Limit, asked, now)
	}
	if end := now.Add(said.Rest); said.Rest > 0 && end.After(g.wish.rest) {
		g.wish.rest = end
	}
}

// ForgetWish forgets what the backend server has said: a new run of it has said nothing.
func (g *Gate) ForgetWish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wish = wish{}
}

// fill adds the requests that the limit allows since the last call.
func (w *wish) fill(now time.Time) {
	if !w.filled.IsZero() {
		w.permits = min(maxPermits, w.permits+w.limit.Value()*now.Sub(w.filled).Seconds())
	}
	w.filled = now
}

// refuse returns a refusal with the time until the backend server takes a request again, or
// nil if it takes one now.
func (w *wish) refuse(now time.Time) *wire.Refused {
	if rest := w.rest.Sub(now); rest > 0 {
		return refusal(wire.Reason_REASON_FULL, wholeMillis(rest))
	}
	limit := w.limit.Value()
	if w.fill(now); limit > 0 && w.permits < 1 {
		return refusal(wire.Reason_REASON_FULL, wholeMillis(time.Duration((1-w.permits)/limit*float64(time.Second))))
	}
	return nil
}

// wholeMillis returns the next whole number of milliseconds above a duration, so that a
// caller does not return too early.
func wholeMillis(d time.Duration) time.Duration {
	return d.Truncate(time.Millisecond) + time.Millisecond
}

// take uses a permit of the limit, if there is one.
func (w *wish) take() {
	if w.limit.Value() > 0 {
		w.permits--
	}
}
