package watcher

import (
	"time"

	"bamboohill/core/identifier"
	"bamboohill/wire"
)

// Health is what an entry makes of a backend server's silence and failures.
type Health int

// Values of Health.
const (
	Alive   Health = iota
	Suspect        // silent, or a call to it failed: one of the two
	Gone           // both
)

// Judge tells a server's health from when it was heard last and how many calls
// to it failed since. Silence alone may be the fault of what carries the
// heartbeats, a failure alone that of one call.
func Judge(heard time.Time, failed int, now time.Time, silence time.Duration) Health {
	silent := now.Sub(heard) > silence
	switch {
	case silent && failed > 0:
		return Gone
	case silent || failed > 0:
		return Suspect
	}
	return Alive
}

// Times of a server that comes back.
const (
	holdFirst   = time.Second      // it is not offered work, first time
	holdLongest = 30 * time.Second // and at the most
	calmAfter   = time.Minute      // without a return until its flaps are forgiven
)

// hold returns how long a server that comes back for the nth time is kept from
// new work.
func hold(flaps int) time.Duration { return min(holdFirst<<min(flaps, 5), holdLongest) }

// record is what the owner keeps of one server besides its report.
type record struct {
	Server
	failing time.Time // first failed call since the newest report, if Failed is not 0
	gone    time.Time // since when it is gone; zero if not
	flaps   int
	held    time.Time // not offered work before this
}

// unreached reports whether calls to a server have failed for longer than a
// limit, with no report in between. Heartbeats of a large fleet come far apart;
// a server that is asked and does not answer needs no more of them to miss.
func (r *record) unreached(now time.Time, limit time.Duration) bool {
	return r.Failed >= proofs && now.Sub(r.failing) > limit
}

// proofs is how many calls must fail where no heartbeat was missed.
const proofs = 2

// mostGone reports whether more than half of a failure domain's servers are
// gone: then this entry may be the one that is cut off.
func mostGone(known map[identifier.Server]*record, domain string) bool {
	all, gone := 0, 0
	for _, r := range known {
		if r.GetDomain() != domain {
			continue
		}
		all++
		if !r.gone.IsZero() {
			gone++
		}
	}
	return 2*gone > all
}

// judge marks who is gone and forgets those gone for long, but nobody of a
// failure domain of which most are gone.
func (w *Watcher) judge(now time.Time) {
	for _, r := range w.known {
		gone := Judge(r.Heard, r.Failed, now, w.patience(r.Server)) == Gone || r.unreached(now, w.config.Silence)
		switch {
		case gone && r.gone.IsZero():
			r.gone = now
		case !gone:
			r.gone = time.Time{}
		}
	}
	for id, r := range w.known {
		if !r.gone.IsZero() && now.Sub(r.gone) > w.config.Forget && !mostGone(w.known, r.GetDomain()) {
			delete(w.known, id)
		}
	}
}

// back notes that a server which was gone is heard again. One that had said it
// leaves, and one of a failure domain of which most were gone, is not at fault
// and serves at once.
func (w *Watcher) back(r *record, now time.Time) {
	if r.gone.IsZero() {
		return
	}
	if now.Sub(r.held) > calmAfter {
		r.flaps = 0
	}
	if r.GetState() != wire.State_STATE_LEAVING && !mostGone(w.known, r.GetDomain()) {
		r.held = now.Add(hold(r.flaps))
		r.flaps++
	}
	r.gone = time.Time{}
}
