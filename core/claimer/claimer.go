package claimer

import (
	"maps"
	"slices"
	"time"

	"bamboohill/core/identifier"
)

// Defaults of Config.
const (
	defaultMaxServers  = 2
	defaultTrustTime   = time.Minute
	defaultCrashMemory = 10 * time.Minute
	defaultMaxRequests = 16_384
)

// Config configures a Claimer. Zero values mean 2 servers, one minute, ten minutes
// and 16,384 requests.
type Config struct {
	MaxServers  int           // limit on backend servers that run copies plus crashes of copies
	TrustTime   time.Duration // for which there is no limit after a copy finished
	CrashMemory time.Duration // for which a crash counts
	MaxRequests int           // requests with state; while all of it is active, further requests have no limit
}

// Claim asks for permission to run a copy of a request in one attempt.
type Claim struct {
	Fingerprint string // identifies account and body
	Server      identifier.Server
	Attempt     identifier.Attempt
	Lease       time.Duration // time after which the claim expires; the attempt must have ended by then
}

// Settlement is the result of a claimed attempt.
type Settlement int

// Values of Settlement.
const (
	Ended    Settlement = iota // none of the others: refused, canceled or transferred
	Finished                   // the backend server completed the request
	Crashed                    // the backend server crashed while it ran the request
)

// grant is a claim that was granted.
type grant struct {
	server identifier.Server
	until  time.Time
}

// request is the state of one fingerprint.
type request struct {
	grants       map[identifier.Attempt]grant
	crashes      []time.Time // when each crash stops counting
	trustedUntil time.Time   // no limit before this time
}

// Claimer grants claims. It is not safe for concurrent use.
type Claimer struct {
	config   Config
	requests map[string]*request
}

// New returns a Claimer without claims.
func New(config Config) *Claimer {
	if config.MaxServers <= 0 {
		config.MaxServers = defaultMaxServers
	}
	if config.TrustTime <= 0 {
		config.TrustTime = defaultTrustTime
	}
	if config.CrashMemory <= 0 {
		config.CrashMemory = defaultCrashMemory
	}
	if config.MaxRequests <= 0 {
		config.MaxRequests = defaultMaxRequests
	}
	return &Claimer{config: config, requests: map[string]*request{}}
}

// Claim reports whether an attempt may run now. If not, it returns the backend
// servers that run copies, in order, so that the attempt may join one of them; the
// result is empty if the limit is reached by crashes alone.
func (c *Claimer) Claim(claim Claim, now time.Time) ([]identifier.Server, bool) {
	r := c.requests[claim.Fingerprint]
	if r == nil {
		if !c.makeRoom(now) {
			return nil, true
		}
		r = &request{grants: map[identifier.Attempt]grant{}}
		c.requests[claim.Fingerprint] = r
	}
	r.expire(now)
	running := r.running()
	if !now.Before(r.trustedUntil) && !r.allows(claim.Server, running, c.config.MaxServers) {
		return running, false
	}
	r.grants[claim.Attempt] = grant{server: claim.Server, until: now.Add(claim.Lease)}
	return nil, true
}

// allows reports whether one more copy may run on a server. Copies on one server
// crash together, so they count as one.
func (r *request) allows(server identifier.Server, running []identifier.Server, limit int) bool {
	if slices.Contains(running, server) {
		return true
	}
	return len(running)+1+len(r.crashes) <= limit
}

// running returns the servers that run copies, in order.
func (r *request) running() []identifier.Server {
	servers := map[identifier.Server]bool{}
	for _, g := range r.grants {
		servers[g.server] = true
	}
	return slices.Sorted(maps.Keys(servers))
}

func (r *request) expire(now time.Time) {
	maps.DeleteFunc(r.grants, func(_ identifier.Attempt, g grant) bool { return !now.Before(g.until) })
	r.crashes = slices.DeleteFunc(r.crashes, func(until time.Time) bool { return !now.Before(until) })
}

// inactive drops what has expired and reports whether no active state is left.
func (r *request) inactive(now time.Time) bool {
	r.expire(now)
	return len(r.grants) == 0 && len(r.crashes) == 0 && !now.Before(r.trustedUntil)
}

// Settle records the result of a claimed attempt. A crash ends all claims of the
// request on the crashed server, because its other copies there have died too. A
// claim that is not held is ignored.
func (c *Claimer) Settle(fingerprint string, attempt identifier.Attempt, result Settlement, now time.Time) {
	r := c.requests[fingerprint]
	if r == nil {
		return
	}
	g, found := r.grants[attempt]
	if !found {
		return
	}
	delete(r.grants, attempt)
	switch result {
	case Finished:
		r.trustedUntil = now.Add(c.config.TrustTime)
		r.crashes = nil
	case Crashed:
		r.trustedUntil = time.Time{}
		r.crashes = append(r.crashes, now.Add(c.config.CrashMemory))
		maps.DeleteFunc(r.grants, func(_ identifier.Attempt, other grant) bool { return other.server == g.server })
	case Ended:
	}
	if r.inactive(now) {
		delete(c.requests, fingerprint)
	}
}

// Pardon drops the crashes of a request, because the operators allow it to run
// again.
func (c *Claimer) Pardon(fingerprint string) {
	if r := c.requests[fingerprint]; r != nil {
		r.crashes = nil
	}
}

// Len returns the number of requests with state.
func (c *Claimer) Len() int { return len(c.requests) }

// makeRoom drops the requests without active state if MaxRequests are held, and
// reports whether there is space for one more.
func (c *Claimer) makeRoom(now time.Time) bool {
	if len(c.requests) < c.config.MaxRequests {
		return true
	}
	maps.DeleteFunc(c.requests, func(_ string, r *request) bool { return r.inactive(now) })
	return len(c.requests) < c.config.MaxRequests
}
