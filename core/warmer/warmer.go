// Package warmer limits what a cold backend server is sent. It answers the
// load pattern of servers that come back, one or a whole failure domain, while
// callers wait: each entry sends only its share of what a cold server bears.
//
// A server is cold when its registration says so, and also for a while after
// it failed: it may have started again, and its registration says so only some
// heartbeats later.
//
// The package is pure but for its own counts.
//
// # Usage
//
//	w := warmer.New()
//	if w.Room(server, service, entries, now) { ...; w.Count(id, now) }
package warmer

import (
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// window is the span in which the rate of a cold server counts.
const window = time.Second

// caution is the part of a cold server's rate that is used: requests of a
// second may arrive within less.
const caution = 0.8

// afterFailure is how long a server that failed is taken for cold unless a
// newer registration says better: its restart and two of its heartbeats.
const afterFailure = 6 * time.Second

type record struct {
	sent   []time.Time // within the last window, oldest first
	failed time.Time
}

// Warmer holds the counts of one entry. It is safe for concurrent use.
type Warmer struct {
	mu      sync.Mutex
	records map[viewer.ServerID]*record
}

// New returns a warmer that has counted nothing.
func New() *Warmer { return &Warmer{records: map[viewer.ServerID]*record{}} }

func (w *Warmer) record(id viewer.ServerID) *record {
	r, found := w.records[id]
	if !found {
		r = &record{}
		w.records[id] = r
	}
	return r
}

// RecordFailure notes that a server failed and may start again.
func (w *Warmer) RecordFailure(id viewer.ServerID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record(id).failed = now
}

// RecordRequest notes a request sent to a server.
func (w *Warmer) RecordRequest(id viewer.ServerID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.record(id)
	r.trim(now)
	r.sent = append(r.sent, now)
}

func (r *record) trim(now time.Time) {
	i := 0
	for i < len(r.sent) && now.Sub(r.sent[i]) >= window {
		i++
	}
	r.sent = append(r.sent[:0], r.sent[i:]...)
}

// Cold reports whether a server has to be taken for cold.
func (w *Warmer) Cold(s *viewer.Server, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cold(s, now)
}

func (w *Warmer) cold(s *viewer.Server, now time.Time) bool {
	if s.ColdAt(now) {
		return true
	}
	r, found := w.records[s.ID]
	return found && !r.failed.IsZero() && now.Sub(r.failed) < afterFailure && s.Observed.Before(r.failed.Add(afterFailure/2))
}

// Allow reports whether one of the given number of entries may send a server
// one more request now.
func (w *Warmer) Allow(s *viewer.Server, service *viewer.Service, entries int, now time.Time) bool {
	if service.ColdRate <= 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cold(s, now) {
		return true
	}
	r := w.record(s.ID)
	r.trim(now)
	share := max(1, int(caution*service.ColdRate*window.Seconds()/float64(max(1, entries))))
	return len(r.sent) < share
}

// Expire forgets servers of which nothing was noted for long.
func (w *Warmer) Expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.records {
		r.trim(now)
		if len(r.sent) == 0 && now.Sub(r.failed) > afterFailure {
			delete(w.records, id)
		}
	}
}
