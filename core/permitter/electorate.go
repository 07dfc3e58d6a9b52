package permitter

import (
	"time"

	"bamboohill/core/ranker"
)

// Times of the election of owners. An entry that has started counts itself later than
// others count it, so that the previous owner ends first.
const (
	peerSettle  = 1500 * time.Millisecond // from the first message of a peer until it may own limits
	selfSettle  = 2 * time.Second         // from the start of this entry until it may own limits
	peerSilence = time.Second             // without a message from a peer until it owns none; four heartbeats
	farSilence  = 12 * time.Second        // the same for a peer that sends a message every five seconds
	peerMemory  = time.Minute             // without a message until a peer counts as gone
	peerAbsence = 5 * time.Second         // the same until it counts as probably gone
	// entryMemory is the time for which an entry that is gone is remembered, so that it does
	// not count anew when a row or another entry names it.
	entryMemory = time.Hour
	// changeSettle is the time after a change of the entries in which no owner grants
	// permits: those of the previous owner are used up then.
	changeSettle   = 400 * time.Millisecond
	updateInterval = 20 * time.Millisecond // between two searches for changes
)

// voter is what an entry knows of another one.
type voter struct {
	incarnation uint64
	since       time.Time // first message without a silence since
	last        time.Time // latest message; zero if there was none
	known       time.Time // latest message; without one, when this entry first knew of the other
	leaving     bool
}

// candidate reports whether the entry may own limits, if this entry hears it often enough.
func (v *voter) candidate(now time.Time, silence time.Duration) bool {
	return !v.leaving && now.Sub(v.last) <= silence && now.Sub(v.since) >= peerSettle
}

// heard reports whether a message of the entry has arrived since this entry knows it.
func (v *voter) heard() bool { return !v.last.IsZero() }

// electorate is the set of entries that can own limits. It is not safe for concurrent use.
type electorate struct {
	config  Config
	started time.Time // of this entry; zero until the first call of update
	leaving bool
	voters  map[string]*voter
	ready   map[string]bool // the entries that may own limits, at the last update
	changed time.Time       // when ready last changed
	updated time.Time       // when it was last computed
}

// hear records a message of another entry.
func (e *electorate) hear(address string, incarnation uint64, leaving bool, now time.Time) {
	v := e.voters[address]
	if v == nil || v.incarnation != incarnation || now.Sub(v.last) > e.silence(address) {
		v = &voter{incarnation: incarnation, since: now}
		e.voters[address] = v
	}
	v.last, v.known, v.leaving = now, now, leaving
}

// know records that another entry exists that may not have sent a message yet.
func (e *electorate) know(address string, now time.Time) {
	if e.voters[address] == nil && address != e.config.Self {
		e.voters[address] = &voter{known: now}
	}
}

// silence returns the time without a message after which a peer owns no limits.
func (e *electorate) silence(address string) time.Duration {
	if e.config.Near(address) {
		return peerSilence
	}
	return farSilence
}

// update records which entries may own limits now, and forgets those that are gone.
func (e *electorate) update(now time.Time) {
	if e.started.IsZero() {
		e.started, e.changed = now, now
	}
	if now.Sub(e.updated) < updateInterval {
		return
	}
	e.updated = now
	ready := make(map[string]bool, len(e.voters)+1)
	for address, v := range e.voters {
		if now.Sub(v.known) > entryMemory {
			delete(e.voters, address)
			continue
		}
		if v.candidate(now, e.silence(address)) {
			ready[address] = true
		}
	}
	if now.Sub(e.started) >= selfSettle && !e.leaving {
		ready[e.config.Self] = true
	}
	same := len(ready) == len(e.ready)
	for address := range ready {
		same = same && e.ready[address]
	}
	if !same {
		e.ready, e.changed = ready, now
	}
}

// owners returns the entries that may own the limit of a server, the owner first, and
// then those that take over from it, at most n.
func (e *electorate) owners(server string, n int) []string {
	var all []string
	for address := range e.ready {
		if e.config.SameCell(address, server) {
			all = append(all, address)
		}
	}
	return ranker.Top(server, all, n)
}

// share returns the part of a server's limit that this entry may allocate: all if more than
// half of the entries of the server's cell that have not gone may own limits as far as it
// hears, half if half of them may. If fewer may, it is none while more than half may be
// together elsewhere for a short time; after that the others are probably gone, and it is
// the part of those that may own limits, which keeps the sum below one and a half limits if
// they are not gone but cut off. It is none also after a change of the entries. An entry
// that is heard again counts when it may own limits, so that no two entries allocate a whole
// limit after a partition.
func (e *electorate) share(server string, now time.Time) float64 {
	if now.Sub(e.changed) < changeSettle {
		return 0
	}
	n := e.count(server, now)
	known := n.present + n.silent + n.unheard
	switch {
	case 2*n.ready > known:
		return 1
	case 2*n.ready == known:
		return evenSplitShare
	case 2*n.ready >= n.present:
		return float64(n.ready) / float64(n.present+n.silent+min(n.unheard, n.ready))
	}
	return 0
}

// census is the number of entries of a server's cell, as far as one entry knows.
type census struct {
	ready   int // may own limits
	present int // all that are not probably gone, those that may own limits included
	silent  int // probably gone, of those that this entry has heard
	// unheard is the number of those that are probably gone and that this entry has not
	// heard since its start. They may be rows of machines that nobody removes, any number,
	// so together they take at most half of a limit.
	unheard int
}

// count returns the numbers of entries of a server's cell.
func (e *electorate) count(server string, now time.Time) census {
	n := census{present: 1}
	for address, v := range e.voters {
		if v.leaving || now.Sub(v.known) > peerMemory || !e.config.SameCell(address, server) {
			continue
		}
		absent := now.Sub(v.known) > max(peerAbsence, e.silence(address))
		switch {
		case !absent:
			n.present++
		case v.heard():
			n.silent++
		default:
			n.unheard++
		}
	}
	for address := range e.ready {
		if e.config.SameCell(address, server) {
			n.ready++
		}
	}
	return n
}

// evenSplitShare is the part of a limit that each half of the entries allocates if they
// don't hear each other.
const evenSplitShare = 0.5
