package queuer

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Times of what entries tell each other about waiting requests.
const (
	// newsLife is the time for which the counts of another entry are believed: two of the
	// longest intervals between its datagrams, so that one may be lost.
	newsLife = 600 * time.Millisecond
	// yieldShare is the share of its patience for which a request leaves room to more
	// urgent ones at other entries, and maxYield the longest time for that. It is the time
	// in which such a request is placed if there is room, and its entry says so.
	yieldShare = 0.25
	maxYield   = 250 * time.Millisecond
)

// Board holds how many requests wait at this entry and at the others. The zero value is not
// usable; see NewBoard. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	own     map[viewer.ServiceName][]Count
	peers   map[string]news
	changed chan struct{}
	heard   chan struct{}
}

// news are the counts of another entry, by the hash of the service.
type news struct {
	counts   map[uint32][]Count
	received time.Time
}

// HashService returns the number by which a service is known on a Board.
func HashService(service viewer.ServiceName) uint32 {
	return uint32(xxhash.Sum64String(string(service)))
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		own: map[viewer.ServiceName][]Count{}, peers: map[string]news{},
		changed: make(chan struct{}, 1), heard: make(chan struct{}, 1),
	}
}

// SetOwn replaces the counts of this entry for a service.
func (b *Board) SetOwn(service viewer.ServiceName, counts []Count) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.own[service]
	if len(counts) == 0 {
		delete(b.own, service)
	} else {
		b.own[service] = counts
	}
	// Others act on which ranks wait, not on how many requests do.
	if !slices.EqualFunc(old, counts, func(a, b Count) bool { return a.Rank == b.Rank }) {
		signal(b.changed)
	}
}

// Own returns the counts of this entry by service.
func (b *Board) Own() map[viewer.ServiceName][]Count {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[viewer.ServiceName][]Count, len(b.own))
	for service, counts := range b.own {
		all[service] = slices.Clone(counts)
	}
	return all
}

// ApplyPeer replaces the counts of another entry, by the hash of the service.
func (b *Board) ApplyPeer(entry string, counts map[uint32][]Count, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	signal(b.heard)
	if len(counts) == 0 {
		delete(b.peers, entry)
		return
	}
	b.peers[entry] = news{counts: counts, received: now}
}

// Changed returns a channel that receives a value when the ranks that wait at this entry
// have changed.
func (b *Board) Changed() <-chan struct{} { return b.changed }

// Heard returns a channel that receives a value when another entry has told something.
func (b *Board) Heard() <-chan struct{} { return b.heard }

// Elsewhere returns how many requests of a service wait at other entries with a rank below
// the given one, as far as this is known.
func (b *Board) Elsewhere(service uint32, below int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for entry, p := range b.peers {
		if age := now.Sub(p.received); age < 0 || age >= newsLife {
			delete(b.peers, entry)
			continue
		}
		for _, c := range p.counts[service] {
			if c.Rank < below {
				n += c.Number
			}
		}
	}
	return n
}

// Yields reports whether a request leaves room to more urgent requests of its service,
// given by its hash, at other entries. It does so for a bounded time after its arrival, and
// while one of them is known to wait. An entry whose requests are placed at once says
// nothing of them, and is not waited for.
func (b *Board) Yields(r Request, service uint32, now time.Time) bool {
	longest := min(maxYield, time.Duration(yieldShare*float64(r.Patience)))
	if r.Begun || now.Sub(r.Arrived) >= longest {
		return false
	}
	return b.Elsewhere(service, r.Rank, now) > 0
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is already pending
	}
}
