package exchanger

import (
	"slices"
	"time"

	"bamboohill/core/checker"
	"bamboohill/core/discerner"
	"bamboohill/core/viewer"
)

// peer is what this entry knows of another entry.
type peer struct {
	discovered   time.Time // when this entry first learned of it
	lastReceived time.Time // when its last datagram was received; zero if none was
	lastKnown    time.Time // when it last sent a datagram or was last in the directory
	named        bool      // a seed or the directory names it, not only other entries
	runs         discerner.Discerner
	sequence     uint64          // of the last datagram of its present run
	leftAt       time.Time       // when it first said that it stops; zero if it does not
	pulled       viewer.Revision // that it had when its state was last fetched
}

// addPeer adds or refreshes the peer with an address. It returns nil if the
// address is none that an entry can have or is this entry's own. The caller holds the lock, except in
// New.
func (e *Exchanger) addPeer(address string, now time.Time) *peer {
	if !checker.IsMachine(address) || address == e.config.Calls.String() {
		return nil
	}
	p, found := e.peers[address]
	if !found {
		p = &peer{discovered: now}
		e.peers[address] = p
		if e.config.Permitter != nil {
			e.config.Permitter.Know(address, now)
		}
	}
	p.lastKnown = now
	return p
}

// addNamed adds or refreshes a peer that a seed or the directory names. The caller holds the
// lock, except in New.
func (e *Exchanger) addNamed(address string, now time.Time) {
	if p := e.addPeer(address, now); p != nil {
		p.named = true
	}
}

// listed reports whether this entry tells others of a peer. Of those that it has never heard
// it lists only what it knows first-hand: else entries go on to tell each other of one that
// is gone, each as the other forgets it.
func (p *peer) listed(now time.Time) bool {
	if p.lastReceived.IsZero() {
		return p.named
	}
	return now.Sub(p.lastReceived) < peerExpiry
}

// Entries returns the number of entries that share limits now, this one
// included: those that sent a datagram within the last minute, and new ones that
// may be about to send their first. Until the directory has been read it returns
// at least 8, as there may be entries that this one does not know: too high a
// number makes its own share of a limit too small rather than too large.
func (e *Exchanger) Entries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 1
	for _, p := range e.peers {
		if time.Since(p.lastReceived) < peerExpiry || p.lastReceived.IsZero() && time.Since(p.discovered) < firstDatagramTimeout {
			n++
		}
	}
	if !e.directoryRead {
		n = max(n, unknownEntries)
	}
	return n
}

// forgetStopped is the time after which an entry that stopped and is silent is taken for one
// that does not return.
const forgetStopped = 15 * time.Second

// Stopping returns when each of the entries that stop began to, the first one first, and the
// number of the others, this entry included. An entry that has ended counts as one that stops
// until it is heard again, or for forgetStopped.
func (e *Exchanger) Stopping(now time.Time) (since []time.Time, others int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leftAt.IsZero() {
		others++
	} else {
		since = append(since, e.leftAt)
	}
	for address, p := range e.peers {
		silent := p.lastReceived.IsZero() || e.silent(address, p, now)
		switch {
		case p.leftAt.IsZero() && !silent:
			others++
		case !p.leftAt.IsZero() && (!silent || now.Sub(p.leftAt) < forgetStopped):
			since = append(since, p.leftAt)
		}
	}
	slices.SortFunc(since, time.Time.Compare)
	return since, others
}
