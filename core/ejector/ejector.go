// Package ejector remembers which backend servers failed the requests of this
// entry lately. A failure is evidence about one path and keeps an entry from
// trying it for a while that doubles with each failure in a row; one success
// ends it. Nobody else is told, and no server is declared dead: that is for
// the list of backend servers to say.
//
// # Usage
//
//	d := ejector.New()
//	d.Fail(id, now)
//	if d.Doubted(id, now) { ... }
//	servers = ejector.Trust(d, servers, id, now)
package ejector

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Bounds of a doubt: a crashed server is back after some seconds, one reset
// connection says little.
const (
	shortest = 300 * time.Millisecond
	longest  = 3 * time.Second
)

// memory is how long failures in a row are remembered after the last.
const memory = 15 * time.Second

type doubt struct {
	failures int
	last     time.Time
	until    time.Time
}

// Ejector holds the doubts of one entry. It is safe for concurrent use.
type Ejector struct {
	mu     sync.Mutex
	doubts map[viewer.ServerID]doubt
	heard  map[viewer.ServerID]time.Time
}

// New returns a ejector that trusts every server.
func New() *Ejector {
	return &Ejector{doubts: map[viewer.ServerID]doubt{}, heard: map[viewer.ServerID]time.Time{}}
}

// RecordFailure notes a failure and returns for how long the server is doubted.
// Failures within one doubt are one failure: they have one cause.
func (d *Ejector) RecordFailure(id viewer.ServerID, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.doubts[id]
	if now.Sub(b.last) > memory {
		b.failures = 0
	}
	b.last = now
	if now.Before(b.until) {
		d.doubts[id] = b
		return b.until.Sub(now)
	}
	span := min(longest, shortest<<min(b.failures, 8))
	b.failures++
	b.until = now.Add(span)
	d.doubts[id] = b
	return span
}

// RecordResponse notes that a server sent part of an answer, which ends the doubts about
// it.
func (d *Ejector) RecordResponse(id viewer.ServerID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.doubts, id)
	d.heard[id] = now
}

// RespondedSince reports whether a server has sent anything to this entry after a
// time: a server that writes to others is slow, not dead.
func (d *Ejector) RespondedSince(id viewer.ServerID, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard[id].After(at)
}

// Expire forgets servers that were not heard of for long.
func (d *Ejector) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.heard {
		if now.Sub(at) > memory {
			delete(d.heard, id)
		}
	}
	for id, b := range d.doubts {
		if now.Sub(b.last) > memory {
			delete(d.doubts, id)
		}
	}
}

// mostDoubted is the part of the servers that doubts may pass over: where more
// fail, that says more about the path than about the servers, and the few left
// must not be made to bear everything.
const mostDoubted = 0.5

// Eligible returns those of some servers that are not doubted, and if these are
// fewer than half, as many as make up half of those whose doubts end soonest.
// The order of the servers is kept.
func Eligible[S any](d *Ejector, servers []S, id func(S) viewer.ServerID, now time.Time) []S {
	d.mu.Lock()
	defer d.mu.Unlock()
	ends := make([]time.Time, 0, len(servers))
	trusted := 0
	for _, s := range servers {
		if until := d.doubts[id(s)].until; now.Before(until) {
			ends = append(ends, until)
		} else {
			trusted++
		}
	}
	limit := now
	if missing := len(servers) - int(mostDoubted*float64(len(servers))) - trusted; missing > 0 {
		slices.SortFunc(ends, time.Time.Compare)
		limit = ends[missing-1]
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s S) bool { return d.doubts[id(s)].until.After(limit) })
}

// Ejected reports whether a server should be passed over now.
func (d *Ejector) Ejected(id viewer.ServerID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.doubts[id].until)
}
