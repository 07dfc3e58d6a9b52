package forwarder

import (
	"net/http"
	"time"
)

// fate is how one send to a backend server ended.
type fate int

const (
	fateDone   fate = iota // the caller has the whole answer
	fateNotRun             // the request did not run there
	fateFailed             // a whole answer that is a failure; it ran
	fateBroken             // no answer or part of one; it may have run
	fateLeft               // the caller has left
)

var fateNames = [...]string{"answered", "not-run", "failed", "broken", "caller-left"}

func (o fate) String() string { return fateNames[o] }

// history is what has been tried for one request.
type history struct {
	repeatable bool
	sends      int // that reached a backend server
	runs       int // of them, those that may have run
	most       int // backend servers that it may be sent to
	left       time.Duration
	begun      bool // the caller has part of the answer
	resumable  bool // and the rest can come from elsewhere
}

// extraSends is how often a request that did not run is sent beyond what its
// route allows: nothing has run, and a full server says so at once.
const extraSends = 2

// leastLeft is the shortest time left in which another try makes sense.
const leastLeft = 30 * time.Millisecond

// next reports whether a request may be sent once more after a failure. It
// answers the load pattern of failures that come in groups, where the servers
// left have to bear what is sent again: never what may have run and may not be
// repeated, never beyond the route's bound. The shared budget comes on top.
func next(h history, last fate) bool {
	if h.left < leastLeft || h.begun && !h.resumable {
		return false
	}
	if h.runs > 0 && (!h.repeatable || h.runs >= h.most) {
		return false
	}
	switch last {
	case fateNotRun:
		return h.sends < h.most+extraSends
	case fateFailed, fateBroken:
		return h.repeatable && h.runs < h.most
	default:
		return false
	}
}

// final returns the status of the system's own answer to a request that
// failed, with nothing of an answer sent. Unavailable is a promise that the
// request has not run.
func final(h history) int {
	switch {
	case h.runs == 0:
		return http.StatusServiceUnavailable
	case h.left < leastLeft:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
