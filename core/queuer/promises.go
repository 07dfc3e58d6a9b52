package queuer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of Promises.
const (
	maxPromises = 4096
	// earlyTolerance is how much earlier than told a caller may come back, as clocks and
	// timers differ, and promiseLife how much later.
	earlyTolerance = 50 * time.Millisecond
	promiseLife    = 2 * time.Second
	// tellTime is the time for which a promise is told to other entries, so that one lost
	// datagram does not matter.
	tellTime = 600 * time.Millisecond
)

// Promise is the time at which a refused caller was told to come back.
type Promise struct {
	Request uint32 // hash of the fingerprint of the request
	Due     time.Time
}

// Promises holds the refused callers that were told when to come back, by this entry and by
// others. The zero value is not usable; see NewPromises. It is safe for concurrent use.
type Promises struct {
	mu   sync.Mutex
	due  map[uint32]time.Time
	made []madePromise // by this entry, oldest first
}

type madePromise struct {
	Promise
	made time.Time
}

// NewPromises returns an empty Promises.
func NewPromises() *Promises { return &Promises{due: map[uint32]time.Time{}} }

// HashFingerprint returns the number by which a request is known in promises.
func HashFingerprint(fingerprint string) uint32 { return uint32(xxhash.Sum64String(fingerprint)) }

// Make records that the caller of a request was told to come back at a time.
func (p *Promises) Make(request uint32, due, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if p.record(request, due) {
		p.made = append(p.made, madePromise{Promise: Promise{Request: request, Due: due}, made: now})
	}
}

// record records a promise unless there are too many.
func (p *Promises) record(request uint32, due time.Time) bool {
	if _, found := p.due[request]; !found && len(p.due) >= maxPromises {
		return false
	}
	p.due[request] = due
	return true
}

// Apply records what another entry has promised.
func (p *Promises) Apply(promises []Promise, now time.Time) {
	if len(promises) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for _, each := range promises {
		p.record(each.Request, each.Due)
	}
}

// Recent returns at most n promises that other entries have to be told, the newest last.
func (p *Promises) Recent(n int, now time.Time) []Promise {
	p.mu.Lock()
	defer p.mu.Unlock()
	var recent []Promise
	for i := len(p.made) - 1; i >= 0 && len(recent) < n && now.Sub(p.made[i].made) < tellTime; i-- {
		recent = append(recent, p.made[i].Promise)
	}
	return recent
}

// Empty reports whether there is no promise, so that requests need not be recognized.
func (p *Promises) Empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.due) == 0
}

// Outstanding returns the number of callers that are going to come back.
func (p *Promises) Outstanding(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	n := 0
	for _, due := range p.due {
		if due.After(now) {
			n++
		}
	}
	return n
}

// Return reports whether the caller of a request comes back, and whether it does so at the
// time that it was told. It ends the promise.
func (p *Promises) Return(request uint32, now time.Time) (back, onTime bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	due, found := p.due[request]
	if !found {
		return false, false
	}
	delete(p.due, request)
	return true, !now.Before(due.Add(-earlyTolerance))
}

// expire removes the promises whose callers have not come back.
func (p *Promises) expire(now time.Time) {
	for len(p.made) > 0 && now.Sub(p.made[0].made) >= tellTime {
		p.made = p.made[1:]
	}
	if len(p.made) == 0 {
		p.made = nil
	}
	for request, due := range p.due {
		if now.Sub(due) >= promiseLife {
			delete(p.due, request)
		}
	}
}
