package gatekeeper

import (
	"time"

	"bamboohill/wire"
)

// maxLease is the longest lease of a reservation.
const maxLease = 10 * time.Second

// gang is a reservation of memory for one member of a gang.
type gang struct {
	tokens int64
	until  time.Time
}

// Reserve holds memory and a place for one member of a gang under a lease, or
// says why not. Asking again for the same gang renews the lease.
func (g *Gate) Reserve(q *wire.ReserveRequest, f Facts) *wire.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease := min(time.Duration(q.GetLeaseMs())*time.Millisecond, maxLease)
	if m, held := g.gangs[q.GetGang()]; held {
		m.until = f.Now.Add(lease)
		return nil
	}
	// A member's memory is asked for as a proposal's; the attempt is fresh.
	p := &wire.Proposal{
		Attempt: "gang/" + q.GetGang(), Sequence: q.GetSequence(), RemainingMs: q.GetLeaseMs(),
		Prompt: q.GetTokens(), Fingerprint: q.GetFingerprint(),
	}
	if r := g.refuse(p, f); r != nil {
		return r
	}
	g.gangs[q.GetGang()] = &gang{tokens: q.GetTokens(), until: f.Now.Add(lease)}
	return nil
}

// Renew prolongs a lease and reports whether the reservation was still held.
func (g *Gate) Renew(id string, lease time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, held := g.gangs[id]
	if !held || now.After(m.until) {
		return false
	}
	m.until = now.Add(min(lease, maxLease))
	return true
}

// Release frees a reservation, or lets its lease lapse if an attempt still
// uses it, and returns the attempts to end. Expire frees it once they left.
func (g *Gate) Release(id string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, held := g.gangs[id]
	if !held {
		return nil
	}
	m.until = now.Add(-1)
	return g.lapse(id, now)
}

// Expire frees the reservations whose lease is over and returns the attempts
// that still use one: they must end. A reservation in use counts until its
// attempt has left.
func (g *Gate) Expire(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var users []string
	for id := range g.gangs {
		users = append(users, g.lapse(id, now)...)
	}
	return users
}

// lapse frees one reservation if its lease is over and nobody uses it.
func (g *Gate) lapse(id string, now time.Time) []string {
	if !now.After(g.gangs[id].until) {
		return nil
	}
	var users []string
	for attempt, w := range g.work {
		if w.gang == id {
			users = append(users, attempt)
		}
	}
	if len(users) == 0 {
		delete(g.gangs, id)
	}
	return users
}

// refuseMember says whether a proposal may not use its gang's reservation.
func (g *Gate) refuseMember(p *wire.Proposal, now time.Time) *wire.Refused {
	m, held := g.gangs[p.GetGang()]
	if !held || now.After(m.until) {
		return refusal(wire.Reason_REASON_MEMORY, retryFull)
	}
	for _, w := range g.work {
		if w.gang == p.GetGang() {
			return refusal(wire.Reason_REASON_DUPLICATE, 0)
		}
	}
	return nil
}
