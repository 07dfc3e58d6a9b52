package forwarder

import (
	"net/http"
	"time"
)

// sendResult is the result of one send to a backend server.
type sendResult int

const (
	sendDone     sendResult = iota // the caller has received the complete answer
	sendNotRun                     // the request did not run there
	sendFailed                     // a complete error answer; the request ran
	sendBroken                     // no answer or part of one; the request may have run
	sendCanceled                   // the caller has disconnected
	sendAborted                    // a part of the prompt has become blocked; the request may have run
	sendWithheld                   // not sent, as the server does not take it now
)

var sendResultNames = [...]string{"answered", "not-run", "failed", "broken", "caller-left", "aborted", "withheld"}

func (r sendResult) String() string { return sendResultNames[r] }

// history records the attempts to serve one request and their limits.
type history struct {
	repeatable bool          // the request may run more than once
	sends      int           // sends that reached a backend server
	runs       int           // sends that may have run
	maxRuns    int           // maximum number of runs
	remaining  time.Duration // time until the deadline; negative after it
	started    bool          // the caller has received part of the answer
	resumable  bool          // another backend server can send the rest
}

// extraSends is the number of sends beyond the route's maximum for a request that
// did not run. They cost little: nothing has run, and a full server refuses at
// once.
const extraSends = 2

// minRemaining is the shortest time before the deadline in which another send
// makes sense.
const minRemaining = 30 * time.Millisecond

// mayResend reports whether a request may be sent again after a send ended with
// last. Servers often fail in groups, and the remaining servers then get the load
// of all retries. So a request that may have run is sent again only if it is
// repeatable, and never more often than the route allows. The shared retry budget
// limits retries further.
func mayResend(h history, last sendResult) bool {
	if h.remaining < minRemaining || h.started && !h.resumable {
		return false
	}
	if h.runs > 0 && (!h.repeatable || h.runs >= h.maxRuns) {
		return false
	}
	switch last {
	case sendNotRun:
		return h.sends < h.maxRuns+extraSends
	case sendFailed, sendBroken:
		return h.repeatable && h.runs < h.maxRuns
	default:
		return false
	}
}

// finalStatus returns the status of the entry's own answer to a request that
// failed before any of an answer was sent. 503 Service Unavailable guarantees
// that the request has not run.
func finalStatus(h history) int {
	switch {
	case h.runs == 0:
		return http.StatusServiceUnavailable
	case h.remaining < minRemaining:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
