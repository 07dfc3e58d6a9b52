// Package warmer limits the request rate of cold backend servers. It prevents an
// overload when one server or a whole failure domain restarts while callers wait:
// each entry sends only its share of the rate that a cold server can handle. With more
// entries than that rate has requests per second, the entries must share it otherwise.
//
// A server is cold when its registration says so, and also for a while after a
// failure: it may have restarted, and its registration shows that only some
// heartbeats later.
//
// The package has no I/O and takes the time as an argument.
//
// # Usage
//
//	w := warmer.New()
//	if w.Allow(server, service, entries, now) { ...; w.RecordRequest(id, now) }
//	rate := w.SharedRate(server, service, entries, now) // to be kept by all entries together
package warmer

import (
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// window is the time over which the requests to a cold server are counted.
const window = time.Second

// safetyFactor is the fraction of the cold rate that is used, because the requests
// of one second may arrive at the server within a shorter time.
const safetyFactor = 0.8

// failureColdTime is the time for which a server counts as cold after a failure,
// unless its registration was read at least half of that time after the failure
// and says otherwise. It covers a restart and two heartbeats.
const failureColdTime = 6 * time.Second

// record is the state of one server.
type record struct {
	sent   []time.Time // requests within the last window, oldest first
	failed time.Time   // newest failure; zero if none
}

// Warmer holds the request counts of one entry. It is safe for concurrent use.
type Warmer struct {
	mu      sync.Mutex
	records map[viewer.ServerID]*record
}

// New returns a Warmer without counts.
func New() *Warmer { return &Warmer{records: map[viewer.ServerID]*record{}} }

func (w *Warmer) record(id viewer.ServerID) *record {
	r, found := w.records[id]
	if !found {
		r = &record{}
		w.records[id] = r
	}
	return r
}

// RecordFailure records that a server failed and may restart.
func (w *Warmer) RecordFailure(id viewer.ServerID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record(id).failed = now
}

// RecordRequest records a request that was sent to a server.
func (w *Warmer) RecordRequest(id viewer.ServerID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.record(id)
	r.trim(now)
	r.sent = append(r.sent, now)
}

// trim drops the requests that are older than the window.
func (r *record) trim(now time.Time) {
	i := 0
	for i < len(r.sent) && now.Sub(r.sent[i]) >= window {
		i++
	}
	r.sent = append(r.sent[:0], r.sent[i:]...)
}

// Cold reports whether a server counts as cold.
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
	return found && !r.failed.IsZero() && now.Sub(r.failed) < failureColdTime && s.Observed.Before(r.failed.Add(failureColdTime/2))
}

// SharedRate returns the requests per second that a cold server takes from the given number
// of entries together, if an entry's share of that is too small to be kept by itself: each
// entry sends at least one request a second. It returns 0 otherwise, and for a warm server.
func (w *Warmer) SharedRate(s *viewer.Server, service *viewer.Service, entries int, now time.Time) float64 {
	if service.ColdRate <= 0 || float64(entries) <= service.ColdRate || !w.Cold(s, now) {
		return 0
	}
	return safetyFactor * service.ColdRate
}

// Allow reports whether an entry, one of the given number of entries, may send
// one more request to a server now. A service without a ColdRate has no limit, and a
// SharedRate is not checked here.
func (w *Warmer) Allow(s *viewer.Server, service *viewer.Service, entries int, now time.Time) bool {
	if service.ColdRate <= 0 || float64(entries) > service.ColdRate {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cold(s, now) {
		return true
	}
	r := w.record(s.ID)
	r.trim(now)
	share := max(1, int(safetyFactor*service.ColdRate*window.Seconds()/float64(max(1, entries))))
	return len(r.sent) < share
}

// Expire drops the state of servers without a request in the last second or a
// failure in the last six seconds.
func (w *Warmer) Expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.records {
		r.trim(now)
		if len(r.sent) == 0 && now.Sub(r.failed) > failureColdTime {
			delete(w.records, id)
		}
	}
}
