package exchanger

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Screener holds the accusations against requests that crashed backend servers.
// screener.Screener implements it.
type Screener interface {
	// Record records an accusation of another entry and reports whether it was new.
	Record(accusation *wire.Accusation) bool
	// Accusations returns all accusations.
	Accusations() []*wire.Accusation
	// Page returns some of the accusations; successive calls return all in turn.
	Page(n int) []*wire.Accusation
	// Urgent returns accusations that all other entries need now, and when to call
	// it again. Changed returns a channel that receives a value when there are new
	// ones.
	Urgent(n int) (due []*wire.Accusation, next time.Duration)
	Changed() <-chan struct{}
}

// maxAccusations bounds the size of a datagram; an accusation takes about 80 B.
const maxAccusations = 64

// informers is the number of entries that send all their accusations to an entry
// that has started or returned: more than one, as they may not know the same, and
// not all, as each sends several datagrams.
const informers = 4

// accusationPage returns the accusations for the next complete datagram. These
// datagrams replace lost ones; new accusations are sent by accusationLoop.
func (e *Exchanger) accusationPage() []*wire.Accusation {
	if e.config.Screener == nil {
		return nil
	}
	return e.config.Screener.Page(maxAccusations)
}

// accusationLoop sends new accusations of this entry to the entries of all cells
// at once, until ctx ends.
func (e *Exchanger) accusationLoop(ctx context.Context) {
	if e.config.Screener == nil {
		return
	}
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.config.Screener.Changed():
		}
		urgent, next := e.config.Screener.Urgent(maxAccusations)
		if len(urgent) > 0 {
			e.sendAccusations(urgent, e.peerAddresses())
		}
		if next > 0 {
			timer.Reset(next)
		}
	}
}

// peerAddresses returns the datagram addresses of all known peers.
func (e *Exchanger) peerAddresses() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]netip.AddrPort, 0, len(e.peers))
	for address := range e.peers {
		all = append(all, e.datagramAddress(address))
	}
	return all
}

// datagramAddress returns the address for datagrams to the peer that serves Path
// at a valid address.
func (e *Exchanger) datagramAddress(address string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddrPort(address).Addr(), e.config.Datagrams.Port())
}

// sendAccusations sends accusations in as many datagrams as they need.
func (e *Exchanger) sendAccusations(accusations []*wire.Accusation, to []netip.AddrPort) {
	for _, some := range divideAccusations(accusations) {
		o := e.newMessage()
		o.Accusations = some
		e.write(o, to)
	}
}

// Bounds of the accusations in a datagram, in bytes: of all, and of the ids of the parts of
// one. An accusation with more of them is sent as several.
const (
	maxAccusationBytes = 16 << 10
	maxPartsBytes      = 8 << 10
)

// divideAccusations divides accusations into those of one datagram each.
func divideAccusations(accusations []*wire.Accusation) [][]*wire.Accusation {
	var all [][]*wire.Accusation
	size := 0
	for _, a := range accusations {
		for _, some := range divideParts(a) {
			n := proto.Size(some)
			if last := len(all) - 1; last < 0 || len(all[last]) == maxAccusations || size+n > maxAccusationBytes {
				all, size = append(all, nil), 0
			}
			all[len(all)-1] = append(all[len(all)-1], some)
			size += n
		}
	}
	return all
}

// divideParts divides an accusation into several with some of its parts each.
func divideParts(a *wire.Accusation) []*wire.Accusation {
	size := 0
	for _, id := range slices.Concat(a.GetParts(), a.GetServedParts()) {
		size += len(id)
	}
	if size <= maxPartsBytes {
		return []*wire.Accusation{a}
	}
	rest := proto.CloneOf(a)
	rest.Parts, rest.ServedParts = nil, nil
	var all []*wire.Accusation
	size = maxPartsBytes
	next := func(id string) *wire.Accusation {
		if size += len(id); size > maxPartsBytes {
			all, size = append(all, proto.CloneOf(rest)), len(id)
		}
		return all[len(all)-1]
	}
	for _, id := range a.GetParts() {
		some := next(id)
		some.Parts = append(some.Parts, id)
	}
	for _, id := range a.GetServedParts() {
		some := next(id)
		some.ServedParts = append(some.ServedParts, id)
	}
	return all
}

// silent reports whether a peer has missed several datagrams. The caller holds the
// lock.
func (e *Exchanger) silent(address string, p *peer, now time.Time) bool {
	limit := peerTimeout
	if !e.InCell(address, e.cells) {
		limit = 2 * farInterval
	}
	return now.Sub(p.lastReceived) > limit
}

// informPeer sends all accusations, and all that backend servers have said, to a peer that
// has started or returned, if this entry is one of its informers. The caller holds the
// lock.
func (e *Exchanger) informPeer(address string, now time.Time) {
	rank := func(informer string) uint64 { return xxhash.Sum64String(informer + " " + address) }
	before := 0
	for other, p := range e.peers {
		if other != address && !e.silent(other, p, now) && rank(other) < rank(e.config.Calls.String()) {
			before++
		}
	}
	if before >= informers {
		return
	}
	e.informOfNotices(address, now)
	if e.config.Screener == nil {
		return
	}
	if all := e.config.Screener.Accusations(); len(all) > 0 {
		e.sendAccusations(all, []netip.AddrPort{e.datagramAddress(address)})
		e.config.Log.Info().Str("event", "peer-informed").Str("peer", address).Int("accusations", len(all)).Msg("")
	}
}

// recordAccusations records the accusations of a datagram.
func (e *Exchanger) recordAccusations(o *wire.Outstanding) {
	if e.config.Screener == nil {
		return
	}
	for _, a := range o.GetAccusations() {
		if e.config.Screener.Record(a) {
			e.config.Log.Info().Str("event", "accusation-received").Str("peer", o.GetEntry()).Str("request", a.GetFingerprint()).
				Str("server", a.GetServer()).Int64("age_ms", a.GetAgeMs()).Msg("")
		}
	}
}
