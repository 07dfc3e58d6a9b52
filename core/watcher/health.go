package watcher

import (
	"time"

	"bamboohill/core/identifier"
	"bamboohill/wire"
)

// Health is the state of a backend server as one entry sees it.
type Health int

// Values of Health.
const (
	Alive   Health = iota
	Suspect        // either silent, or a call to it failed
	Dead           // silent, and a call to it failed
)

// Classify returns the health of a server from the time of its last report and
// the number of calls to it that failed since. A server is silent if its last
// report is older than timeout. One sign alone is not enough to call it dead:
// heartbeats may be lost on the way, and one call may fail for its own reasons.
func Classify(lastReport time.Time, failed int, now time.Time, timeout time.Duration) Health {
	silent := now.Sub(lastReport) > timeout
	switch {
	case silent && failed > 0:
		return Dead
	case silent || failed > 0:
		return Suspect
	}
	return Alive
}

// Delays for a server that returns after it was dead.
const (
	firstHold = time.Second      // time without new work after the first return
	maxHold   = 30 * time.Second // longest time without new work
	flapReset = time.Minute      // time without a return after which the count of flaps is reset
)

// holdTime returns how long a server gets no new work after it returns, if it has
// returned flaps times before. The time doubles with each return, up to maxHold.
func holdTime(flaps int) time.Duration { return min(firstHold<<min(flaps, 5), maxHold) }

// record is the state of one server.
type record struct {
	Server
	failingSince time.Time // first failed call since the newest report, if FailedCalls is not 0
	deadSince    time.Time // zero if the server is not dead
	flaps        int       // unplanned returns after it was dead
	heldUntil    time.Time // gets no new work before this time
}

// unreachable reports whether at least minFailedCalls calls to a server have
// failed over more than limit, without a report in between. It detects a dead
// server without waiting for missed heartbeats, which are far apart in a large
// fleet.
func (r *record) unreachable(now time.Time, limit time.Duration) bool {
	return r.FailedCalls >= minFailedCalls && now.Sub(r.failingSince) > limit
}

// minFailedCalls is the number of calls that must fail before a server is dead
// without a missed heartbeat.
const minFailedCalls = 2

// mostDead reports whether more than half of the servers of a failure domain are
// dead. In that case this entry itself may be disconnected from them.
func mostDead(records map[identifier.Server]*record, domain string) bool {
	all, dead := 0, 0
	for _, r := range records {
		if r.GetDomain() != domain {
			continue
		}
		all++
		if !r.deadSince.IsZero() {
			dead++
		}
	}
	return 2*dead > all
}

// updateHealth marks dead servers and drops those that have been dead for longer
// than ForgetAfter, except in failure domains in which most servers are dead.
func (w *Watcher) updateHealth(now time.Time) {
	for _, r := range w.records {
		dead := Classify(r.LastReport, r.FailedCalls, now, w.silenceLimit(r.Server)) == Dead || r.unreachable(now, w.config.SilenceTimeout)
		switch {
		case dead && r.deadSince.IsZero():
			r.deadSince = now
		case !dead:
			r.deadSince = time.Time{}
		}
	}
	for id, r := range w.records {
		if !r.deadSince.IsZero() && now.Sub(r.deadSince) > w.config.ForgetAfter && !mostDead(w.records, r.GetDomain()) {
			delete(w.records, id)
		}
	}
}

// markReturned handles a new report of a server that was dead. The server gets no
// new work for a while, unless it had announced that it leaves or most servers of
// its failure domain were dead: then the outage was not its own fault.
func (w *Watcher) markReturned(r *record, now time.Time) {
	if r.deadSince.IsZero() {
		return
	}
	if now.Sub(r.heldUntil) > flapReset {
		r.flaps = 0
	}
	if r.GetState() != wire.State_STATE_LEAVING && !mostDead(w.records, r.GetDomain()) {
		r.heldUntil = now.Add(holdTime(r.flaps))
		r.flaps++
	}
	r.deadSince = time.Time{}
}
