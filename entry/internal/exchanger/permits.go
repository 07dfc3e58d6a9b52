package exchanger

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bamboohill/core/permitter"
	"bamboohill/wire"
)

// maxNotices bounds the size of a datagram; a notice takes about 40 B.
const maxNotices = 64

// noticePage returns some of what backend servers have said, for the next complete
// datagram.
func (e *Exchanger) noticePage() []*wire.ServerNotice {
	if e.config.Permitter == nil {
		return nil
	}
	return e.config.Permitter.Notices(maxNotices, time.Now())
}

// permitLoop sends what servers have said, and the demands for permits of their limits and
// the grants, until ctx ends.
func (e *Exchanger) permitLoop(ctx context.Context) {
	if e.config.Permitter == nil {
		return
	}
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.config.Permitter.Changed():
		}
		messages, next := e.config.Permitter.Outbox(time.Now())
		e.sendPermits(messages)
		timer.Reset(next)
	}
}

// sendPermits sends messages of the permitter.
func (e *Exchanger) sendPermits(messages []permitter.Message) {
	for _, m := range messages {
		to := []netip.AddrPort{}
		if m.To == "" {
			to = e.peerAddresses()
		} else if _, err := netip.ParseAddrPort(m.To); err == nil {
			to = append(to, e.datagramAddress(m.To))
		}
		c := m.Content
		for len(c.GetNotices())+len(c.GetDemands())+len(c.GetGrants()) > 0 {
			part := e.newMessage()
			part.Notices, c.Notices = split(c.GetNotices())
			part.Demands, c.Demands = split(c.GetDemands())
			part.Grants, c.Grants = split(c.GetGrants())
			e.write(part, to)
		}
	}
}

// split returns the first maxNotices elements, and the others.
func split[T any](all []T) (first, rest []T) {
	n := min(maxNotices, len(all))
	return all[:n], all[n:]
}

// newMessage returns a datagram without the state of this entry.
func (e *Exchanger) newMessage() *wire.Outstanding {
	return &wire.Outstanding{
		Entry: e.config.Name, Incarnation: e.incarnation, Address: e.config.Calls.String(), Leaving: e.leaving.Load(), AccusationsOnly: true,
	}
}

// receivePermits passes a datagram to the permitter.
func (e *Exchanger) receivePermits(o *wire.Outstanding, now time.Time) {
	if e.config.Permitter == nil {
		return
	}
	e.config.Permitter.Hear(o.GetAddress(), o.GetIncarnation(), o.GetLeaving(), now)
	changed, messages := e.config.Permitter.Receive(o.GetAddress(), o, now)
	for _, n := range changed {
		e.config.Log.Info().Str("event", "server-notice").Str("peer", o.GetEntry()).Str("server", n.GetServer()).Int64("born", n.GetBorn()).
			Float64("limit", n.GetLimit()).Bool("leaving", n.GetLeaving()).Int64("heard_ms", n.GetHeardMs()).Msg("")
	}
	if len(messages) > 0 {
		go e.sendPermits(messages) // the caller holds the lock
	}
}

// informOfNotices sends all that servers have said to a peer that has started or returned.
func (e *Exchanger) informOfNotices(address string, now time.Time) {
	if e.config.Permitter == nil {
		return
	}
	to := []netip.AddrPort{e.datagramAddress(address)}
	for part := range slices.Chunk(e.config.Permitter.AllNotices(maxInformed, now), maxNotices) {
		o := e.newMessage()
		o.Notices = part
		e.write(o, to)
	}
}

// maxInformed is the number of notices that a peer gets that has started.
const maxInformed = 1024

// Leave tells the other entries that this one is stopping.
func (e *Exchanger) Leave() {
	e.mu.Lock()
	e.leftAt = time.Now()
	e.mu.Unlock()
	e.leaving.Store(true)
	if e.config.Permitter != nil {
		e.config.Permitter.Leave()
	}
}
