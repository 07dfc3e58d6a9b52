package replayer

import (
	"time"

	"bamboohill/core/announcer"
)

// transit is the time from a datagram's sending until it has been applied.
const transit = 5 * time.Millisecond

// sender sends the datagrams of one entry.
type sender struct {
	*announcer.Announcer
	next time.Duration // when the next datagram is due, as scheduled
}

// startAnnouncers lets each entry send its first datagram.
func (r *replay) startAnnouncers() {
	for i := range r.config.Load.Entries {
		r.senders = append(r.senders, &sender{Announcer: announcer.New()})
		r.announce(i)
	}
}

// changed records a change of an entry's load, which may make its next datagram due earlier.
func (r *replay) changed(entry int, c announcer.Change) {
	if r.senders == nil {
		return
	}
	r.senders[entry].Change(c, epoch.Add(r.emulator.Now()))
	r.scheduleDatagram(entry)
}

// scheduleDatagram schedules the next datagram of an entry.
func (r *replay) scheduleDatagram(entry int) {
	s := r.senders[entry]
	due := max(r.emulator.Now(), s.Due().Sub(epoch))
	if due == s.next {
		return
	}
	s.next = due
	r.emulator.Schedule(due, func() {
		if s.next == due {
			r.announce(entry)
		}
	})
}

// announce sends a datagram of an entry to its peers.
func (r *replay) announce(entry int) {
	now := r.emulator.Now()
	if now >= r.config.Load.Length+drainTime {
		return
	}
	s, peers := r.senders[entry], len(r.peers(entry))-1
	s.Sent(peers, epoch.Add(now))
	s.next = -1
	r.result.Datagrams += peers
	r.emulator.Schedule(now+transit, func() {
		r.tellLoad(entry)
		r.tellWaiting(entry, epoch.Add(r.emulator.Now()))
	})
	r.scheduleDatagram(entry)
}

// updateDelay returns the longest time until an entry learns of a placement.
func (r *replay) updateDelay(entry int) time.Duration {
	if r.senders == nil {
		return r.config.Load.UpdateDelay
	}
	return r.senders[entry].Delay() + transit
}
