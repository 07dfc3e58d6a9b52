package claimer

import (
	"maps"
	"slices"
	"time"

	"bamboohill/core/ider"
)

// Defaults of Config.
const (
	defaultMost      = 2
	defaultTrust     = time.Minute
	defaultSuspicion = 10 * time.Minute
	defaultRequests  = 16_384
)

// Config describes a Claimer. Zero values mean 2, a minute, ten minutes and
// 16,384 requests.
type Config struct {
	MaxServers  int           // backend servers that run copies, and crashes under them
	TrustTime   time.Duration // from the end of a copy that finished on, nothing is bounded
	CrashMemory time.Duration // how long a crash counts
	MaxRequests int           // held; while all are in force, no more are bounded
}

// Claim is one attempt that would run a copy of a request.
type Claim struct {
	Fingerprint string // of account and body
	Server      ider.Server
	Attempt     ider.Attempt
	Lease       time.Duration // until the attempt has ended at the latest
}

// Settlement is how a claimed attempt ended.
type Settlement int

// Settlements.
const (
	Ended    Settlement = iota // neither of the others: refused, cancelled, handed over
	Finished                   // the backend server did the work
	Crashed                    // the backend server died under it
)

// hold is one claim that is held.
type hold struct {
	server ider.Server
	until  time.Time
}

// request is what is known of one fingerprint.
type request struct {
	holds   map[ider.Attempt]hold
	crashes []time.Time // until then each counts
	trusted time.Time   // until then nothing is bounded
}

// Claimer holds claims. It is not safe for concurrent use.
type Claimer struct {
	config   Config
	requests map[string]*request
}

// New returns a claimer that holds nothing.
func New(config Config) *Claimer {
	if config.MaxServers <= 0 {
		config.MaxServers = defaultMost
	}
	if config.TrustTime <= 0 {
		config.TrustTime = defaultTrust
	}
	if config.CrashMemory <= 0 {
		config.CrashMemory = defaultSuspicion
	}
	if config.MaxRequests <= 0 {
		config.MaxRequests = defaultRequests
	}
	return &Claimer{config: config, requests: map[string]*request{}}
}

// Claim reports whether an attempt may run now. If not, it returns the backend
// servers that run copies, in order; none if only crashes stand in the way.
func (c *Claimer) Claim(claim Claim, now time.Time) ([]ider.Server, bool) {
	r := c.requests[claim.Fingerprint]
	if r == nil {
		if !c.makeRoom(now) {
			return nil, true
		}
		r = &request{holds: map[ider.Attempt]hold{}}
		c.requests[claim.Fingerprint] = r
	}
	r.expire(now)
	running := r.running()
	if !now.Before(r.trusted) && !r.room(claim.Server, running, c.config.MaxServers) {
		return running, false
	}
	r.holds[claim.Attempt] = hold{server: claim.Server, until: now.Add(claim.Lease)}
	return nil, true
}

// room reports whether one more copy may run at a server. One that joins others
// in a server dies with them and counts once.
func (r *request) room(server ider.Server, running []ider.Server, most int) bool {
	if slices.Contains(running, server) {
		return true
	}
	return len(running)+1+len(r.crashes) <= most
}

// running returns the servers that run copies, in order.
func (r *request) running() []ider.Server {
	servers := map[ider.Server]bool{}
	for _, h := range r.holds {
		servers[h.server] = true
	}
	return slices.Sorted(maps.Keys(servers))
}

func (r *request) expire(now time.Time) {
	maps.DeleteFunc(r.holds, func(_ ider.Attempt, h hold) bool { return !now.Before(h.until) })
	r.crashes = slices.DeleteFunc(r.crashes, func(until time.Time) bool { return !now.Before(until) })
}

// over reports whether nothing about the request is in force any more.
func (r *request) over(now time.Time) bool {
	r.expire(now)
	return len(r.holds) == 0 && len(r.crashes) == 0 && !now.Before(r.trusted)
}

// Settle tells how a claimed attempt ended. All claims of a server end with its
// crash: what runs there beside the attempt has died too. A claim that is not
// held changes nothing.
func (c *Claimer) Settle(fingerprint string, attempt ider.Attempt, how Settlement, now time.Time) {
	r := c.requests[fingerprint]
	if r == nil {
		return
	}
	h, held := r.holds[attempt]
	if !held {
		return
	}
	delete(r.holds, attempt)
	switch how {
	case Finished:
		r.trusted = now.Add(c.config.TrustTime)
		r.crashes = nil
	case Crashed:
		r.trusted = time.Time{}
		r.crashes = append(r.crashes, now.Add(c.config.CrashMemory))
		maps.DeleteFunc(r.holds, func(_ ider.Attempt, other hold) bool { return other.server == h.server })
	case Ended:
	}
	if r.over(now) {
		delete(c.requests, fingerprint)
	}
}

// Pardon forgets the crashes under copies of a request: the operators will have
// it run again.
func (c *Claimer) Pardon(fingerprint string) {
	if r := c.requests[fingerprint]; r != nil {
		r.crashes = nil
	}
}

// Len returns the number of requests held.
func (c *Claimer) Len() int { return len(c.requests) }

// makeRoom forgets what is over when the most are held and reports whether
// there is room for one more.
func (c *Claimer) makeRoom(now time.Time) bool {
	if len(c.requests) < c.config.MaxRequests {
		return true
	}
	maps.DeleteFunc(c.requests, func(_ string, r *request) bool { return r.over(now) })
	return len(c.requests) < c.config.MaxRequests
}
