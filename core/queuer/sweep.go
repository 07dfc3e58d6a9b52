package queuer

import (
	"slices"
	"time"
)

// Reservations of room: the first aged request that can't be placed holds back smaller ones
// for reserveTime, at most once in reserveInterval. Together they bound the share of time
// for which room is kept, and the delay of the requests that are held back.
const (
	reserveTime     = 50 * time.Millisecond
	reserveInterval = time.Second
)

// reservation is the time for which a queue keeps room for a request.
type reservation struct {
	number uint64 // of the waiter
	since  time.Time
}

// Sweep is one pass over the waiting requests of a Queue, in their order at the time at
// which it began. The queue may change during the pass.
type Sweep[T any] struct {
	queue   *Queue[T]
	now     time.Time
	waiters []*Waiter[T]
	current *Waiter[T]
	stopped []Request // could not be placed
	held    bool      // the rest is held back by a reservation
}

// Sweep begins a pass.
func (q *Queue[T]) Sweep(now time.Time) *Sweep[T] {
	s := &Sweep[T]{queue: q, now: now, waiters: slices.Clone(q.waiting)}
	slices.SortFunc(s.waiters, func(a, b *Waiter[T]) int { return order(a, b, now) })
	return s
}

// Next returns the next request to be tried, or nil at the end of the pass. It passes over
// those that a request before them stops.
func (s *Sweep[T]) Next() *Waiter[T] {
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		s.waiters = s.waiters[1:]
		if w.due(s.now) || !s.held && !slices.ContainsFunc(s.stopped, func(r Request) bool { return stops(r, w.Request, s.now) }) {
			s.current = w
			return w
		}
	}
	s.current = nil
	return nil
}

// Stop says that the request that Next returned can't be placed now.
func (s *Sweep[T]) Stop() {
	if s.current == nil || s.current.Alone {
		return
	}
	s.stopped = append(s.stopped, s.current.Request)
	s.held = s.held || s.queue.reserves(s.current, s.now)
}

// due reports whether the request must be decided, as it can't wait for longer, whatever
// is before it.
func (r Request) due(now time.Time) bool {
	return r.Begun || r.Alone || now.Sub(r.Arrived) >= r.Patience
}

// stops reports whether a request that can't be placed stops one behind it: one of its kind
// that needs as much room, up to a factor of two, or a less urgent one that needs as much.
func stops(first, next Request, now time.Time) bool {
	if first.Alone || next.sizeClass() < first.sizeClass() {
		return false
	}
	return next.Kind == first.Kind || next.rank(now) > first.rank(now)
}

// reserves reports whether room is kept for a request that can't be placed, and begins to
// keep it if that is due.
func (q *Queue[T]) reserves(w *Waiter[T], now time.Time) bool {
	if w.Size == 0 || !w.aged(now) {
		return false
	}
	if since := now.Sub(q.reserve.since); q.reserve.since.IsZero() || since >= reserveInterval {
		q.reserve = reservation{number: w.number, since: now}
	}
	return q.reserve.number == w.number && now.Sub(q.reserve.since) < reserveTime
}

// MayPass reports whether a new request may be tried at once: no request that waits goes
// before it and stops it, and no room is kept for another.
func (q *Queue[T]) MayPass(r Request, now time.Time) bool {
	if len(q.waiting) == 0 || r.due(now) {
		return true
	}
	kept := now.Sub(q.reserve.since) < reserveTime
	for _, w := range q.waiting {
		if compare(w.Request, r, now) > 0 {
			continue
		}
		if stops(w.Request, r, now) || kept && w.number == q.reserve.number {
			return false
		}
	}
	return true
}
