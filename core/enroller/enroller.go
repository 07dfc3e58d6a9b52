// Package enroller keeps the list of backend servers that an entry calls
// itself, from a store in which they register and from which silent ones
// expire. It answers the pattern in which the store is away: servers that
// can't renew their registration expire though they live, and all at once. One
// that expires around an outage is kept until it had time to register again.
//
// The package is pure: the clock is passed in.
//
// # Usage
//
//	e := enroller.New()
//	e.Put(server)
//	e.Remove(id, now)
//	e.Expire(now)
//	servers := e.Servers()
package enroller

import (
	"maps"
	"time"

	"bamboohill/core/viewer"
)

// returnTime is how long servers that expired during an outage of the store
// take to register again after it: the platform promises about two seconds.
const returnTime = 2300 * time.Millisecond

// Enroller holds the list. It is not safe for concurrent use.
type Enroller struct {
	servers map[viewer.ServerID]*viewer.Server
	leaving map[viewer.ServerID]time.Time // when a missing one is given up
	outage  time.Time                     // last sign that the store was away
}

// New returns an empty list.
func New() *Enroller {
	return &Enroller{servers: map[viewer.ServerID]*viewer.Server{}, leaving: map[viewer.ServerID]time.Time{}}
}

// Put enters a server or what is new about it.
func (e *Enroller) Put(s *viewer.Server) {
	e.servers[s.ID] = s
	delete(e.leaving, s.ID)
}

// RecordOutage notes that the store doesn't answer.
func (e *Enroller) RecordOutage(now time.Time) { e.outage = now }

// Remove takes a server off the list, at once unless its registration may have
// expired for want of the store. It reports whether it is gone.
func (e *Enroller) Remove(id viewer.ServerID, now time.Time) bool {
	s, found := e.servers[id]
	if !found {
		return true
	}
	if !e.outage.IsZero() && now.Sub(e.outage) < returnTime && !s.Draining {
		if _, waiting := e.leaving[id]; !waiting {
			e.leaving[id] = e.outage.Add(returnTime)
		}
		return false
	}
	delete(e.servers, id)
	delete(e.leaving, id)
	return true
}

// Reset replaces the list by a complete one: what is missing there is removed.
// It returns those that are gone.
func (e *Enroller) Reset(all map[viewer.ServerID]*viewer.Server, now time.Time) []viewer.ServerID {
	var gone []viewer.ServerID
	for id := range e.servers {
		if _, found := all[id]; !found && e.Remove(id, now) {
			gone = append(gone, id)
		}
	}
	for _, s := range all {
		e.Put(s)
	}
	return gone
}

// Expire gives up the servers that had time to return, and returns them. While
// the store is away nobody can return.
func (e *Enroller) Expire(now time.Time) []viewer.ServerID {
	var gone []viewer.ServerID
	for id, until := range e.leaving {
		if until = maxTime(until, e.outage.Add(returnTime)); now.Before(until) {
			continue
		}
		delete(e.leaving, id)
		delete(e.servers, id)
		gone = append(gone, id)
	}
	return gone
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PendingExpiry returns the number of servers that may return.
func (e *Enroller) PendingExpiry() int { return len(e.leaving) }

// Servers returns a copy of the list.
func (e *Enroller) Servers() map[viewer.ServerID]*viewer.Server { return maps.Clone(e.servers) }
