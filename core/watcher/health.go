package watcher

import (
	"time"

	"bamboohill/core/ider"
	"bamboohill/wire"
)

// Health is what an entry makes of a backend server's silence and failures.
type Health int

// Values of Health.
const (
	Alive   Health = iota
	Suspect        // silent, or a call to it failed: one of the two
	Dead           // both
)

// Classify tells a server's health from when it was heard last and how many calls
// to it failed since. Silence alone may be the fault of what carries the
// heartbeats, a failure alone that of one call.
func Classify(heard time.Time, failed int, now time.Time, silence time.Duration) Health {
	silent := now.Sub(heard) > silence
	switch {
	case silent && failed > 0:
		return Dead
	case silent || failed > 0:
		return Suspect
	}
	return Alive
}

// Times of a server that comes back.
const (
	firstHold = time.Second      // it is not offered work, first time
	maxHold   = 30 * time.Second // and at the most
	flapReset = time.Minute      // without a return until its flaps are forgiven
)

// holdTime returns how long a server that comes back for the nth time is kept from
// new work.
func holdTime(flaps int) time.Duration { return min(firstHold<<min(flaps, 5), maxHold) }

// record is what the owner keeps of one server besides its report.
type record struct {
	Server
	failingSince time.Time // first failed call since the newest report, if Failed is not 0
	deadSince    time.Time // since when it is gone; zero if not
	flaps        int
	heldUntil    time.Time // not offered work before this
}

// unreachable reports whether calls to a server have failed for longer than a
// limit, with no report in between. Heartbeats of a large fleet come far apart;
// a server that is asked and does not answer needs no more of them to miss.
func (r *record) unreachable(now time.Time, limit time.Duration) bool {
	return r.FailedCalls >= minFailedCalls && now.Sub(r.failingSince) > limit
}

// minFailedCalls is how many calls must fail where no heartbeat was missed.
const minFailedCalls = 2

// mostDead reports whether more than half of a failure domain's servers are
// gone: then this entry may be the one that is cut off.
func mostDead(known map[ider.Server]*record, domain string) bool {
	all, gone := 0, 0
	for _, r := range known {
		if r.GetDomain() != domain {
			continue
		}
		all++
		if !r.deadSince.IsZero() {
			gone++
		}
	}
	return 2*gone > all
}

// updateHealth marks who is gone and forgets those gone for long, but nobody of a
// failure domain of which most are gone.
func (w *Watcher) updateHealth(now time.Time) {
	for _, r := range w.records {
		gone := Classify(r.LastReport, r.FailedCalls, now, w.silenceLimit(r.Server)) == Dead || r.unreachable(now, w.config.SilenceTimeout)
		switch {
		case gone && r.deadSince.IsZero():
			r.deadSince = now
		case !gone:
			r.deadSince = time.Time{}
		}
	}
	for id, r := range w.records {
		if !r.deadSince.IsZero() && now.Sub(r.deadSince) > w.config.ForgetAfter && !mostDead(w.records, r.GetDomain()) {
			delete(w.records, id)
		}
	}
}

// markReturned notes that a server which was gone is heard again. One that had said it
// leaves, and one of a failure domain of which most were gone, is not at fault
// and serves at once.
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
