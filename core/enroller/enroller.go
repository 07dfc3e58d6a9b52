// Package enroller keeps the list of backend servers that an entry calls
// directly. They register in a store, and a registration that is not renewed
// expires. During an outage of the store, servers can't renew their
// registrations, so live servers expire all at once. A server that expires around
// an outage is therefore kept until it has had time to register again.
//
// A store may perform a write late, after newer ones. A registration that precedes the newest
// one known of its server is therefore held back, also after that was removed. If it is the
// live server's own, as its clock has been set back, it is renewed and does not expire; else a
// newer one replaces it, or it expires.
//
// The package has no I/O and takes the time as an argument.
//
// # Usage
//
//	e := enroller.New()
//	e.Put(server, now)
//	e.Remove(id, now)
//	e.Expire(now)
//	e.Release(confirmed, now)
//	servers := e.Servers()
package enroller

import (
	"maps"
	"time"

	"bamboohill/core/viewer"
)

// ReregistrationTime is how long servers that expired during an outage of the store
// have to register again after its end. The platform guarantees about two
// seconds.
const ReregistrationTime = 2300 * time.Millisecond

// latestRetention is how long the newest registration of a server that is not on the list is
// remembered. Writes are performed some seconds late at most.
const latestRetention = 10 * time.Minute

// Enroller holds the list. It is not safe for concurrent use.
type Enroller struct {
	holdTime time.Duration
	latest   map[viewer.ServerID]*latest
	held     map[viewer.ServerID]held
	servers  map[viewer.ServerID]*viewer.Server
	missing  map[viewer.ServerID]time.Time // time at which a missing server is removed
	outage   time.Time                     // last time at which the store was seen unavailable
	renewed  map[viewer.ServerID]bool      // servers that expired and have registered again since outage
}

// latest is the newest registration known of a server.
type latest struct {
	*viewer.Server
	seen time.Time // when it was last on the list
}

// held is a registration that precedes the newest one known.
type held struct {
	*viewer.Server
	due time.Time // when it counts as renewed
}

// New returns an Enroller with an empty list. A registration that is held back is accepted if
// it is still there after holdTime, which must exceed the time in which one expires that is
// not renewed.
func New(holdTime time.Duration) *Enroller {
	return &Enroller{
		holdTime: holdTime, latest: map[viewer.ServerID]*latest{}, held: map[viewer.ServerID]held{},
		servers: map[viewer.ServerID]*viewer.Server{}, missing: map[viewer.ServerID]time.Time{}, renewed: map[viewer.ServerID]bool{},
	}
}

// Put adds or updates a server, unless its registration is held back, and reports whether it
// did. One that says that the server leaves never is.
func (e *Enroller) Put(s *viewer.Server, now time.Time) bool {
	if l := e.latest[s.ID]; l != nil && s.Precedes(l.Server) {
		if s.Draining { // safe, and the next registration of a live server corrects it
			e.list(s)
			return true
		}
		e.held[s.ID] = held{Server: s, due: now.Add(e.holdTime)}
		return false
	}
	e.accept(s, now)
	return true
}

// Release accepts the registrations that were held back and are still there, as the store has
// confirmed in an answer to a call that began at the given time. It returns them.
func (e *Enroller) Release(confirmed, now time.Time) []*viewer.Server {
	var released []*viewer.Server
	for _, h := range e.held {
		if !confirmed.Before(h.due) {
			e.accept(h.Server, now)
			released = append(released, h.Server)
		}
	}
	return released
}

// Held returns the number of registrations that are held back.
func (e *Enroller) Held() int { return len(e.held) }

// accept adds or updates a server by its newest registration.
func (e *Enroller) accept(s *viewer.Server, now time.Time) {
	e.latest[s.ID] = &latest{Server: s, seen: now}
	e.list(s)
}

// list adds or updates a server.
func (e *Enroller) list(s *viewer.Server) {
	delete(e.held, s.ID)
	e.servers[s.ID] = s
	if _, expired := e.missing[s.ID]; expired {
		e.renewed[s.ID] = true
		delete(e.missing, s.ID)
	}
}

// RecordOutage records that the store is unavailable at the given time.
func (e *Enroller) RecordOutage(now time.Time) {
	e.outage = now
	clear(e.renewed)
}

// Remove removes a server from the list. If its registration may have expired
// because of an outage, the server stays until Expire removes it. A server that is
// draining, or has registered again since the outage, is removed at once. Remove reports
// whether the server is off the list.
func (e *Enroller) Remove(id viewer.ServerID, now time.Time) bool {
	delete(e.held, id)
	if l := e.latest[id]; l != nil {
		l.seen = now
	}
	e.forgetLatest(now)
	s, found := e.servers[id]
	if !found {
		return true
	}
	if !e.outage.IsZero() && now.Sub(e.outage) < ReregistrationTime && !s.Draining && !e.renewed[id] {
		if _, recorded := e.missing[id]; !recorded {
			e.missing[id] = e.outage.Add(ReregistrationTime)
		}
		return false
	}
	e.Discard(id)
	return true
}

// Discard removes a server from the list at once: its registration is there and names none.
func (e *Enroller) Discard(id viewer.ServerID) {
	delete(e.held, id)
	delete(e.servers, id)
	delete(e.missing, id)
	delete(e.renewed, id)
}

// Reset replaces the list by a complete one and removes the servers that are
// absent from it, as Remove does. It returns those that are off the list.
func (e *Enroller) Reset(all map[viewer.ServerID]*viewer.Server, now time.Time) []viewer.ServerID {
	var removed []viewer.ServerID
	for id := range e.servers {
		if _, found := all[id]; !found && e.Remove(id, now) {
			removed = append(removed, id)
		}
	}
	for _, s := range all {
		e.Put(s, now)
	}
	return removed
}

// Expire removes the missing servers that have had time to register again, and
// returns them. The time counts from the end of the outage, since no server can
// register during it.
func (e *Enroller) Expire(now time.Time) []viewer.ServerID {
	var removed []viewer.ServerID
	for id, deadline := range e.missing {
		if deadline = maxTime(deadline, e.outage.Add(ReregistrationTime)); now.Before(deadline) {
			continue
		}
		delete(e.missing, id)
		delete(e.servers, id)
		delete(e.renewed, id)
		removed = append(removed, id)
	}
	return removed
}

// forgetLatest drops the newest registrations of servers that have been off the list for long.
func (e *Enroller) forgetLatest(now time.Time) {
	maps.DeleteFunc(e.latest, func(id viewer.ServerID, l *latest) bool {
		_, listed := e.servers[id]
		return !listed && now.Sub(l.seen) > latestRetention
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsLast reports whether no other server of the service of a server is on the list that is
// neither draining nor missing. It is false for a server that is draining or not on the
// list.
func (e *Enroller) IsLast(id viewer.ServerID) bool {
	s, found := e.servers[id]
	if !found || s.Draining {
		return false
	}
	for other, o := range e.servers {
		_, missing := e.missing[other]
		if other != id && o.Service == s.Service && !o.Draining && !missing {
			return false
		}
	}
	return true
}

// PendingExpiry returns the number of missing servers that are still on the list.
func (e *Enroller) PendingExpiry() int { return len(e.missing) }

// Servers returns a copy of the list.
func (e *Enroller) Servers() map[viewer.ServerID]*viewer.Server { return maps.Clone(e.servers) }
