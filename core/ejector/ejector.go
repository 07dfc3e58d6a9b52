// Package ejector temporarily excludes backend servers that failed requests of
// this entry (outlier ejection). A failure ejects the server for a time that
// doubles with each consecutive failure; an answer ends the ejection. Because a
// failure may concern only the path between this entry and the server, ejections
// are not sent to other entries, and they do not mark a server as dead: only the
// list of backend servers decides that.
//
// # Usage
//
//	e := ejector.New()
//	e.RecordFailure(id, now)
//	if e.Ejected(id, now) { ... }
//	servers = ejector.Eligible(e, servers, id, now)
package ejector

import (
	"slices"
	"sync"
	"time"

	"bamboohill/core/viewer"
)

// Shortest and longest ejection. A single reset connection is weak evidence, so
// the first ejection is short; a crashed server is back after some seconds, so
// longer ejections are of no use.
const (
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
)

// retention is the time after the last event for which the state of a server is
// kept.
const retention = 15 * time.Second

// ejection is the state of a server that failed.
type ejection struct {
	failures int       // consecutive ones
	last     time.Time // of the newest failure
	until    time.Time // end of the ejection
}

// Ejector holds the ejections of one entry. It is safe for concurrent use.
type Ejector struct {
	mu        sync.Mutex
	ejections map[viewer.ServerID]ejection
	answers   map[viewer.ServerID]time.Time // time of the newest part of an answer
}

// New returns an Ejector without ejections.
func New() *Ejector {
	return &Ejector{ejections: map[viewer.ServerID]ejection{}, answers: map[viewer.ServerID]time.Time{}}
}

// RecordFailure records a failure and returns the time until the ejection of the
// server ends. Failures during an ejection have the same cause as its first one,
// so they do not extend it.
func (e *Ejector) RecordFailure(id viewer.ServerID, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.ejections[id]
	if now.Sub(b.last) > retention {
		b.failures = 0
	}
	b.last = now
	if now.Before(b.until) {
		e.ejections[id] = b
		return b.until.Sub(now)
	}
	span := min(maxEjection, minEjection<<min(b.failures, 8))
	b.failures++
	b.until = now.Add(span)
	e.ejections[id] = b
	return span
}

// RecordAnswer records that a server sent a part of an answer, which ends its
// ejection.
func (e *Ejector) RecordAnswer(id viewer.ServerID, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ejections, id)
	e.answers[id] = now
}

// AnsweredSince reports whether a server has sent any part of an answer to this
// entry after the given time. A server that answers other requests is slow, not
// dead.
func (e *Ejector) AnsweredSince(id viewer.ServerID, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers[id].After(at)
}

// Expire drops the answers and ejections whose last event is longer ago than
// the retention of 15 seconds.
func (e *Ejector) Expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range e.answers {
		if now.Sub(at) > retention {
			delete(e.answers, id)
		}
	}
	for id, b := range e.ejections {
		if now.Sub(b.last) > retention {
			delete(e.ejections, id)
		}
	}
}

// maxEjectedFraction is the largest fraction of the servers that is excluded. If
// more of them fail, the path is a more likely cause than the servers, and the
// remaining servers would be overloaded with all requests.
const maxEjectedFraction = 0.5

// Eligible returns the servers that are not ejected. If they are fewer than half
// of the servers, it adds ejected servers up to half, those whose ejections end
// first. It adds all servers whose ejections end at the same time together, even if
// they are more than half. The order of the servers is kept.
func Eligible[S any](e *Ejector, servers []S, id func(S) viewer.ServerID, now time.Time) []S {
	e.mu.Lock()
	defer e.mu.Unlock()
	ends := make([]time.Time, 0, len(servers))
	available := 0
	for _, s := range servers {
		if until := e.ejections[id(s)].until; now.Before(until) {
			ends = append(ends, until)
		} else {
			available++
		}
	}
	limit := now
	if missing := len(servers) - int(maxEjectedFraction*float64(len(servers))) - available; missing > 0 {
		slices.SortFunc(ends, time.Time.Compare)
		limit = ends[missing-1]
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s S) bool { return e.ejections[id(s)].until.After(limit) })
}

// Ejected reports whether a server is ejected now.
func (e *Ejector) Ejected(id viewer.ServerID, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.ejections[id].until)
}
