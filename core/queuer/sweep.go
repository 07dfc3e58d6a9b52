package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reservations of room: an aged request that a fair pass can't place holds back others, the
// kinds in turn, for at most reserveShare of the time. If minReserve was not enough for the
// room to become free, the next reservations last longer, up to maxReserve.
const (
	reserveShare = 0.1
	minReserve   = 50 * time.Millisecond
	maxReserve   = 400 * time.Millisecond
)

// reservation is the time for which a queue keeps room for a request.
type reservation struct {
	number uint64 // of the waiter; 0 for none
	since  time.Time
	length time.Duration
	last   map[string]time.Time // when room was last kept for each kind
}

// holds reports whether room is kept for a waiter.
func (r *reservation) holds(number uint64, now time.Time) bool {
	return r.number == number && now.Sub(r.since) < r.length
}

// due reports whether another reservation may begin.
func (r *reservation) due(now time.Time) bool {
	return float64(now.Sub(r.since)) >= float64(r.length)/reserveShare
}

// begin begins a reservation.
func (r *reservation) begin(number uint64, kind string, now time.Time) {
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	if r.number != 0 {
		r.length *= 2 // the previous one was in vain
	}
	r.number, r.since, r.last[kind] = number, now, now
	r.length = min(maxReserve, max(minReserve, r.length))
}

// end ends the reservation for a waiter that has left the queue.
func (r *reservation) end(number uint64) {
	if r.number == number {
		r.number, r.length = 0, minReserve
	}
}

// Sweep is one pass over the waiting requests of a Queue, in their order at the time at
// which it began. The queue may change during the pass.
type Sweep[T any] struct {
	queue   *Queue[T]
	now     time.Time
	fair    bool // aged requests go first, whatever their rank and account
	waiters []placed[T]
	current placed[T]
	stopped []placed[T] // that can't be placed
	held    bool        // the rest is held back by a reservation
}

// placed is a waiter at its place in the order of a pass.
type placed[T any] struct {
	*Waiter[T]
	place key
	first bool // room is kept for it, or is going to be if it can't be placed
}

// Sweep begins a pass.
func (q *Queue[T]) Sweep(now time.Time) *Sweep[T] {
	q.passes++
	s := &Sweep[T]{queue: q, now: now, fair: max(q.passes, q.placed+1) >= fairInterval, waiters: make([]placed[T], len(q.waiting))}
	if s.fair {
		q.passes = 0
	}
	for i, w := range q.waiting {
		s.waiters[i] = placed[T]{Waiter: w, place: w.Request.key(w.number, now, s.fair), first: q.reserve.holds(w.number, now)}
	}
	if s.fair && q.reserve.due(now) {
		s.selectReserver()
	}
	slices.SortFunc(s.waiters, func(a, b placed[T]) int {
		return cmp.Or(compareTrue(a.place.begun, b.place.begun), compareTrue(a.first, b.first), a.place.compare(b.place))
	})
	return s
}

// selectReserver puts the aged request first for which room is kept if it can't be placed:
// one of the kind for which that was longest ago, with the most of its patience left. The
// smallest that wait need no room to be kept.
func (s *Sweep[T]) selectReserver() {
	best, smallest := -1, math.MaxInt
	for _, w := range s.waiters {
		smallest = min(smallest, w.sizeClass())
	}
	for i, w := range s.waiters {
		if w.sizeClass() == smallest || w.Alone || !w.aged(s.now) {
			continue
		}
		if best < 0 || cmp.Or(s.queue.reserve.last[w.Kind].Compare(s.queue.reserve.last[s.waiters[best].Kind]), cmp.Compare(s.waiters[best].place.end, w.place.end)) < 0 {
			best = i
		}
	}
	if best >= 0 {
		s.waiters[best].first = true
	}
}

// Next returns the next request to be tried, or nil at the end of the pass. It passes over
// those that a request before them stops.
func (s *Sweep[T]) Next() *Waiter[T] {
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		s.waiters = s.waiters[1:]
		if w.due(s.now) && !s.holdsBack(w) || !s.held && !slices.ContainsFunc(s.stopped, func(p placed[T]) bool { return p.stops(w.Request, w.place) }) {
			s.current = w
			return w.Waiter
		}
	}
	s.current = placed[T]{}
	return nil
}

// Placed says that the request that Next returned has been placed. The caller removes it.
func (s *Sweep[T]) Placed() {
	s.queue.placed++
	if s.fair {
		s.queue.placed = 0
	}
}

// holdsBack reports whether room that is kept for another request is kept from one that has
// ended its patience: it is unless that was shorter than the time for which room is kept, so
// that the wait at most doubles.
func (s *Sweep[T]) holdsBack(w placed[T]) bool {
	return s.held && !w.Begun && !w.Alone && w.Patience >= s.queue.reserve.length
}

// Stop says that the request that Next returned can't be placed now.
func (s *Sweep[T]) Stop() {
	w := s.current
	if w.Waiter == nil || w.Alone {
		return
	}
	s.stopped = append(s.stopped, w)
	if w.first && !s.queue.reserve.holds(w.number, s.now) {
		s.queue.reserve.begin(w.number, w.Kind, s.now)
	}
	s.held = s.held || w.first
}

// due reports whether the request must be decided, as it can't wait for longer, whatever
// is before it.
func (r Request) due(now time.Time) bool {
	return r.Begun || r.Alone || now.Sub(r.Arrived) >= r.Patience
}

// minStopPatience is the patience from which on a prompt stops others. One with less can
// often not be placed because it has already waited, while a newer one still can.
const minStopPatience = 100 * time.Millisecond

// stops reports whether a request that can't be placed stops one behind it: one of its kind
// that needs as much room, up to a factor of two, or a less urgent one that needs as much.
func (p placed[T]) stops(next Request, place key) bool {
	if p.Alone || next.sizeClass() < p.sizeClass() || p.Size > 0 && p.Patience < minStopPatience {
		return false
	}
	return next.Kind == p.Kind || place.rank > p.place.rank
}

// MayPass reports whether a new request may be tried at once: no request that waits goes
// before it and stops it, and no room is kept for another.
func (q *Queue[T]) MayPass(r Request, now time.Time) bool {
	if len(q.waiting) == 0 || r.due(now) {
		return true
	}
	place := r.key(q.added+1, now, false)
	for _, w := range q.waiting {
		first := placed[T]{Waiter: w, place: w.key(now)}
		if q.reserve.holds(w.number, now) || first.place.compare(place) < 0 && first.stops(r, place) {
			return false
		}
	}
	return true
}
