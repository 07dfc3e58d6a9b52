package gatekeeper

import (
	"time"

	"bamboohill/wire"
)

// maxLease is the longest lease of a reservation.
const maxLease = 10 * time.Second

// gang is a memory reservation for one member of a gang.
type gang struct {
	tokens int64     // reserved memory
	until  time.Time // end of the lease
}

// Reserve reserves memory and a slot for one member of a gang under a lease and
// returns nil, or returns the reason for the refusal. A further call for the
// same gang renews the lease.
func (g *Gate) Reserve(q *wire.ReserveRequest, f Facts) *wire.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease := min(time.Duration(q.GetLeaseMs())*time.Millisecond, maxLease)
	if m, held := g.gangs[q.GetGang()]; held {
		m.until = f.Now.Add(lease)
		return nil
	}
	// The reservation passes the same checks as a proposal with a new attempt.
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

// Renew extends the lease of a reservation. It returns false if the reservation
// does not exist or its lease has expired.
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

// Release frees a reservation. If attempts still use it, Release expires its
// lease and returns these attempts, which the caller must cancel; Expire frees
// the reservation once they are removed.
func (g *Gate) Release(id string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, held := g.gangs[id]
	if !held {
		return nil
	}
	m.until = now.Add(-1)
	return g.expire(id, now)
}

// Expire frees the reservations whose lease has expired and returns the
// attempts that still use one; the caller must cancel these. A reservation
// counts until its attempt is removed.
func (g *Gate) Expire(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var users []string
	for id := range g.gangs {
		users = append(users, g.expire(id, now)...)
	}
	return users
}

// expire frees one reservation if its lease has expired and no attempt uses it.
// It returns the attempts that still use an expired one.
func (g *Gate) expire(id string, now time.Time) []string {
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

// refuseMember refuses a proposal whose gang has no reservation here or whose
// gang's reservation is in use.
func (g *Gate) refuseMember(p *wire.Proposal, now time.Time) *wire.Refused {
	m, held := g.gangs[p.GetGang()]
	if !held || now.After(m.until) {
		return refusal(wire.Reason_REASON_MEMORY, retryCapacity)
	}
	for _, w := range g.work {
		if w.gang == p.GetGang() {
			return refusal(wire.Reason_REASON_DUPLICATE, 0)
		}
	}
	return nil
}
