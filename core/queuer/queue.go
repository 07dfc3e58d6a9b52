package queuer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Request describes a request that waits, or may have to.
type Request struct {
	Rank     int           // 0 is the most urgent
	Kind     string        // requests of one kind have the same targets
	Account  string        // empty for none
	Size     int           // the room that it needs, in tokens of its prompt; 0 for calls
	Bytes    int           // memory that it takes while it waits
	Over     float64       // how far its account exceeds its share; 0 if it does not
	Returned bool          // its caller was refused and has come back at the time it was told
	Begun    bool          // a backend server has received it before, and its answer may be cut
	Alone    bool          // it waits for something that no other request waits for
	Arrived  time.Time     // when the entry received it
	Patience time.Duration // how long it can wait and still be answered in time
}

// agedShare is the share of its patience after which a request is aged: in one of
// fairInterval passes, and for one of as many placements, it goes before all that end their
// patience later, whatever its rank and account, so that none starves.
const (
	agedShare    = 0.5
	fairInterval = 8
)

// aged reports whether the request has waited for long.
func (r Request) aged(now time.Time) bool {
	return r.Patience > 0 && now.Sub(r.Arrived) >= time.Duration(agedShare*float64(r.Patience))
}

// sizeClass returns the binary logarithm of the size, rounded down, from 1; 0 for size 0.
func (r Request) sizeClass() int { return bits.Len(uint(max(0, r.Size))) }

// key is the place of a request in the order of a pass.
type key struct {
	begun    bool
	rank     int
	over     float64
	returned bool
	end      int64 // of its patience, in nanoseconds after now
	number   uint64
}

// key returns the place of a request in a pass that is fair or not.
func (r Request) key(number uint64, now time.Time, fair bool) key {
	k := key{
		begun: r.Begun, rank: r.Rank, over: r.Over, returned: r.Returned,
		end: int64(r.Arrived.Add(r.Patience).Sub(now)), number: number,
	}
	if fair && r.aged(now) {
		k.rank, k.over, k.returned = 0, 0, true
	}
	return k
}

// compare returns a negative number if a goes before b.
func (a key) compare(b key) int {
	return cmp.Or(
		compareTrue(a.begun, b.begun), cmp.Compare(a.rank, b.rank), cmp.Compare(a.over, b.over),
		compareTrue(a.returned, b.returned), cmp.Compare(a.end, b.end), cmp.Compare(a.number, b.number),
	)
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Waiter is a request in a Queue, with a value of the caller.
type Waiter[T any] struct {
	Request
	Value    T
	number   uint64 // of arrival, which makes the order unique
	position int
}

// Limits bound what waits in a Queue. Zero means no limit.
type Limits struct {
	Requests int
	Bytes    int
	Wait     time.Duration // the longest time that a request waits
}

// Queue holds the requests that wait for one service. It is not safe for concurrent use.
type Queue[T any] struct {
	limits  Limits
	waiting []*Waiter[T] // in no particular order
	bytes   int
	added   uint64
	passes  int // since the last fair one
	placed  int // since a fair pass last placed a request
	reserve reservation
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] { return &Queue[T]{limits: limits} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Waiters returns the waiting requests, in no particular order.
func (q *Queue[T]) Waiters() []*Waiter[T] { return slices.Clone(q.waiting) }

// Ahead returns the number of waiting requests that go before a new one.
func (q *Queue[T]) Ahead(r Request, now time.Time) int {
	n := 0
	place := r.key(q.added+1, now, false)
	for _, w := range q.waiting {
		if w.key(now).compare(place) < 0 {
			n++
		}
	}
	return n
}

// Bytes returns the memory that the waiting requests take.
func (q *Queue[T]) Bytes() int { return q.bytes }

// Add adds a request. It returns the new waiter, and those that no longer fit within the
// limits: the last in order, which may include the new one. They have left the queue. The
// oldest request of each kind and of each account goes last of all, so that none starves.
func (q *Queue[T]) Add(r Request, value T, now time.Time) (added *Waiter[T], rejected []*Waiter[T]) {
	q.added++
	added = &Waiter[T]{Request: r, Value: value, number: q.added, position: len(q.waiting)}
	q.waiting = append(q.waiting, added)
	q.bytes += r.Bytes
	for q.overflows() {
		last := q.last(now)
		q.Remove(last)
		rejected = append(rejected, last)
	}
	return added, rejected
}

// last returns the waiter that leaves first if there are too many.
func (q *Queue[T]) last(now time.Time) *Waiter[T] {
	kinds, accounts := map[string]*Waiter[T]{}, map[string]*Waiter[T]{}
	note := func(oldest map[string]*Waiter[T], group string, w *Waiter[T]) {
		if known := oldest[group]; known == nil || w.number < known.number {
			oldest[group] = w
		}
	}
	for _, w := range q.waiting {
		note(kinds, w.Kind, w)
		note(accounts, w.Account, w)
	}
	kept := func(w *Waiter[T]) bool { return kinds[w.Kind] == w || accounts[w.Account] == w }
	return slices.MaxFunc(q.waiting, func(a, b *Waiter[T]) int {
		return cmp.Or(compareTrue(kept(a), kept(b)), a.key(now).compare(b.key(now)))
	})
}

func (q *Queue[T]) overflows() bool {
	return q.limits.Requests > 0 && len(q.waiting) > q.limits.Requests || q.limits.Bytes > 0 && q.bytes > q.limits.Bytes
}

// key returns the place of a waiter in the order of ranks.
func (w *Waiter[T]) key(now time.Time) key { return w.Request.key(w.number, now, false) }

// Remove removes a waiter. It ignores one that has left the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	if w.position >= len(q.waiting) || q.waiting[w.position] != w {
		return
	}
	last := q.waiting[len(q.waiting)-1]
	q.waiting[w.position] = last
	last.position = w.position
	q.waiting[len(q.waiting)-1] = nil
	q.waiting = q.waiting[:len(q.waiting)-1]
	q.bytes -= w.Bytes
	q.reserve.end(w.number)
	if len(q.waiting) == 0 {
		q.waiting, q.reserve.last = nil, nil // a burst must not keep its memory
	}
}

// Update replaces what is known of a waiting request, as after a change of the ranks. It
// ignores one that has left the queue. The memory of the request stays the same.
func (q *Queue[T]) Update(w *Waiter[T], r Request) {
	r.Bytes = w.Bytes
	w.Request = r
}

// Expired removes and returns the requests that have waited for as long as the limits
// allow.
func (q *Queue[T]) Expired(now time.Time) []*Waiter[T] {
	if q.limits.Wait <= 0 {
		return nil
	}
	var expired []*Waiter[T]
	for _, w := range q.waiting {
		if now.Sub(w.Arrived) >= q.limits.Wait {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		q.Remove(w)
	}
	return expired
}

// Count is the number of requests of one rank that wait.
type Count struct {
	Rank   int
	Number int
	Oldest time.Time // when the oldest of them arrived
}

// Counts returns the numbers of waiting requests by rank, in the order of the ranks.
func (q *Queue[T]) Counts() []Count {
	var counts []Count
	for _, w := range q.waiting {
		i, found := slices.BinarySearchFunc(counts, w.Rank, func(c Count, rank int) int { return cmp.Compare(c.Rank, rank) })
		if !found {
			counts = slices.Insert(counts, i, Count{Rank: w.Rank, Oldest: w.Arrived})
		}
		counts[i].Number++
		if w.Arrived.Before(counts[i].Oldest) {
			counts[i].Oldest = w.Arrived
		}
	}
	return counts
}
