package announcer

import (
	"sync/atomic"
	"time"
)

// Change is what has changed since the last datagram.
type Change int

// Changes, in the order of their urgency.
const (
	None   Change = iota
	Other         // work has progressed or ended, or other knowledge has changed
	Placed        // a request was placed
)

// Intervals between two datagrams.
const (
	Heartbeat    = 250 * time.Millisecond  // the longest without a change, for few peers
	minGap       = 8 * time.Millisecond    // the shortest
	gapPerPeer   = time.Millisecond        // added to minGap for each peer: the shortest on average
	otherPerPeer = 2500 * time.Microsecond // for each peer: the shortest if nothing was placed
	maxOther     = 500 * time.Millisecond  // the bound of that; loads expire after three of them
	burst        = 4                       // placements that are announced ahead of the average
)

// delayWeight is the weight of the last placement in the mean delay.
const delayWeight = 0.2

// Announcer schedules the datagrams of one entry. Create it with New.
type Announcer struct {
	last    time.Time // of the last datagram
	average time.Time // by which the datagrams sent so far would have been sent at the average rate
	gap     time.Duration
	other   time.Duration
	change  Change
	placed  time.Time // when the first placement of those to be announced was recorded
	delay   atomic.Int64
}

// New returns an Announcer whose first datagram is due at once.
func New() *Announcer {
	a := &Announcer{gap: minGap, other: minGap}
	a.delay.Store(int64(minGap))
	return a
}

// Change records that something has changed.
func (a *Announcer) Change(c Change, now time.Time) {
	if c == Placed && a.change != Placed {
		a.placed = now
	}
	a.change = max(a.change, c)
}

// Due returns when the next datagram is to be sent, if nothing else changes before.
func (a *Announcer) Due() time.Time {
	other := a.last.Add(a.other)
	switch a.change {
	case Placed:
		due := a.average.Add(-burst * a.gap)
		if soonest := a.last.Add(minGap); due.Before(soonest) {
			due = soonest
		}
		if other.Before(due) {
			return other
		}
		return due
	case Other:
		return other
	case None:
	}
	return a.last.Add(max(Heartbeat, a.other))
}

// Sent records that a datagram was sent to each of a number of peers.
func (a *Announcer) Sent(peers int, now time.Time) {
	if a.change == Placed {
		mean := time.Duration(a.delay.Load())
		a.delay.Store(int64(mean + time.Duration(delayWeight*float64(now.Sub(a.placed)-mean))))
	}
	a.change, a.last = None, now
	a.gap = minGap + time.Duration(peers)*gapPerPeer
	a.other = max(a.gap, min(time.Duration(peers)*otherPerPeer, maxOther))
	if a.average.Before(now) {
		a.average = now
	}
	a.average = a.average.Add(a.gap)
}

// Delay returns the time from a placement until it is announced: the mean of the last few, but
// at least the shortest interval between two datagrams. It is safe for concurrent use.
func (a *Announcer) Delay() time.Duration { return max(minGap, time.Duration(a.delay.Load())) }
