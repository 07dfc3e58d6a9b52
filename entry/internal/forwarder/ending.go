package forwarder

import (
	"errors"
	"math/rand/v2"
	"time"

	"bamboohill/core/viewer"
)

// errStopping is returned for a request that a stopping process does not send.
var errStopping = errors.New("the entry stops before the request must have ended")

// isStopping reports whether the process stops.
func (f *Forwarder) isStopping() bool { return f.Closing() || !f.Ends().IsZero() }

// isTooLate reports whether a stopping process must not begin to serve the request, as it may
// end first. A request that may have run is continued until Abandon, as it can't be refused
// any more.
func (x *exchange) isTooLate() bool {
	if x.forwarder.ending.Load() {
		return true
	}
	end := x.forwarder.Ends()
	return !end.IsZero() && x.history.runs == 0 && !x.endsBefore(end)
}

// sendElsewhere sets when the caller of a request that a stopping process refuses may come
// back: at once if another entry accepts requests, else when one does again.
func (x *exchange) sendElsewhere() {
	x.forwarder.Meter.Add("refused_stopping", 1)
	at := x.forwarder.Reopens()
	x.elsewhere = at.IsZero()
	if !at.IsZero() {
		x.retryAt = at.Add(time.Duration(rand.Float64() * float64(retryAfterSpread)))
	}
}

// A stopping process accepts a call of a plain service if a third of the time that is left, of
// which there is a minimum, is as long as it usually takes, or as its target if that is
// unknown.
const (
	endMargin  = 3
	minEndTime = 500 * time.Millisecond
)

// endsBefore reports whether the request ends by a time. It must if its own deadline is
// earlier. Nothing else bounds the duration of a stream, whose length and engine can exceed
// what earlier answers showed, and which is cut if it does. A call that exceeds what is usual
// still gets an answer from Abandon, so that an estimate is enough for it.
func (x *exchange) endsBefore(end time.Time) bool {
	if !x.deadline.After(end) {
		return true
	}
	if x.route.Kind == viewer.Streaming {
		return false
	}
	usual := x.forwarder.Gauger.Usual(x.route.Name)
	if usual <= 0 {
		usual = x.route.TargetLatency
	}
	return time.Until(end) > max(minEndTime, endMargin*usual)
}

// causeEnding is why a send is canceled at the end of the process.
const causeEnding = "the entry ends"

// Abandon answers all requests whose answers have not begun, as the process is about to end
// and would close their connections: those that have not run are refused, also if their bodies
// are still arriving, the others get a failure that promises nothing. From now on no request
// is sent.
func (f *Forwarder) Abandon() {
	f.ending.Store(true)
	f.reading.AbortAll()
	f.unanswered.AbortAll()
}

// Active returns the number of requests that are being served.
func (f *Forwarder) Active() int64 { return f.active.Load() }
