package permitter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bamboohill/core/ranker"
	"bamboohill/core/translator"
	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Config describes a Permitter.
type Config struct {
	Self string // address of this entry, by which others know it
	// SameCell reports whether an entry may own the limit of a server. If nil, every
	// entry may.
	SameCell func(address, server string) bool
	// Near reports whether the entry at an address sends messages several times a second;
	// others do so every few seconds. If nil, all do.
	Near func(address string) bool
}

// Reason says why a server may not get a request now.
type Reason string

// Reasons.
const (
	Allowed Reason = ""
	Limited Reason = "limit" // no permit of its limit is at hand
	Resting Reason = "rest"  // it has asked for rest
	Leaving Reason = "leaving"
)

// Verdict says whether a server may get a request.
type Verdict struct {
	Reason Reason
	Until  time.Time // when that is expected to end; zero if unknown
}

// Allowed reports whether the server may get a request now.
func (v Verdict) Allowed() bool { return v.Reason == Allowed }

// want is a request that waits for a permit.
type want struct {
	run   run
	since time.Time
	noted time.Time // when the request last asked
}

// wantLifetime is the time after which a request counts as no longer waiting if it does
// not ask again.
const wantLifetime = 100 * time.Millisecond

// Permitter holds what one entry knows of the servers' wishes. It is safe for concurrent
// use.
type Permitter struct {
	mu          sync.Mutex
	records     map[run]*record
	limited     map[run]*record // those of records whose servers have a limit, or are cold
	unavailable map[run]*record // those of records whose servers have asked for rest, or leave
	urgent      map[run]*record // those of records with notices that others need now
	wants       map[string]want // by the attempt id of the request
	electorate  electorate
	page        []run // runs whose notices have not been sent in this round
	changed     chan struct{}
	counts      Counts
}

// Counts are the numbers of events since the start.
type Counts struct {
	Granted int64 // permits that this entry has received
	Used    int64 // permits with which a request was sent
	Expired int64 // permits that were not used in time
}

// New returns a Permitter that knows nothing.
func New(config Config) *Permitter {
	if config.SameCell == nil {
		config.SameCell = func(string, string) bool { return true }
	}
	if config.Near == nil {
		config.Near = func(string) bool { return true }
	}
	return &Permitter{
		records: map[run]*record{}, limited: map[run]*record{}, unavailable: map[run]*record{}, urgent: map[run]*record{}, wants: map[string]want{}, changed: make(chan struct{}, 1),
		electorate: electorate{config: config, voters: map[string]*voter{}},
	}
}

// Changed returns a channel that receives a value when Outbox has something to send.
func (p *Permitter) Changed() <-chan struct{} { return p.changed }

func (p *Permitter) signal() {
	select {
	case p.changed <- struct{}{}:
	default: // the reader has not seen the last signal
	}
}

// Record records what an answer of a server says, to a request that was sent at asked. A
// zero asked means that the answer was not one to a request of a caller: it can set or
// lower a limit, and not end it. Record reports whether something has changed.
func (p *Permitter) Record(s *viewer.Server, said translator.Statement, asked, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := runOf(s)
	r := p.records[key]
	if r == nil && said.Limit == 0 && said.Rest == 0 && !said.Leaving {
		return false
	}
	if r == nil {
		r = p.add(key)
	}
	r.touched = now
	changed := !said.LimitInvalid && r.limit.Apply(said.Limit, asked, now)
	if changed {
		p.index(key, r, now)
		p.announce(key, r, now)
	}
	if end := now.Add(said.Rest); said.Rest > 0 && end.After(r.rest) {
		r.rest = end
		p.unavailable[key] = r
		changed = true
	}
	if said.Leaving && !r.leaving {
		p.leave(key, r)
		p.announce(key, r, now)
		changed = true
	}
	return changed
}

// leave records that a server leaves.
func (p *Permitter) leave(key run, r *record) {
	r.leaving = true
	p.unavailable[key] = r
}

// announce has all other entries told of a record now.
func (p *Permitter) announce(key run, r *record, now time.Time) {
	r.notices = noticeCopies
	if r.nextNotice.Before(now) {
		r.nextNotice = now
	}
	p.urgent[key] = r
	p.signal()
}

// index updates the set of servers with a limit.
func (p *Permitter) index(key run, r *record, now time.Time) {
	if r.rate(now) > 0 {
		p.limited[key] = r
		return
	}
	delete(p.limited, key)
	r.permits, r.demand, r.bucket, r.returned = nil, demand{}, bucket{}, 0
}

func (p *Permitter) add(key run) *record {
	r := &record{}
	p.records[key] = r
	return r
}

// coldLifetime is the time after which the rate of a cold server ends if it is not
// repeated.
const coldLifetime = time.Second

// Restrict limits the requests per second to a server that is cold, from all entries
// together, for a second. A rate of 0 changes nothing.
func (p *Permitter) Restrict(s *viewer.Server, rate float64, now time.Time) {
	if rate <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restrict(runOf(s), rate, now)
}

func (p *Permitter) restrict(key run, rate float64, now time.Time) *record {
	r := p.records[key]
	if r == nil {
		r = p.add(key)
	}
	r.touched = now
	r.cold, r.coldUntil = clampLimit(rate), now.Add(coldLifetime)
	p.limited[key] = r
	return r
}

// Limit returns the limit that a server names, 0 if it names none.
func (p *Permitter) Limit(s *viewer.Server) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.records[runOf(s)]; r != nil {
		return r.limit.Value()
	}
	return 0
}

// NeedsPermit reports whether a server has a limit, or is cold and restricted.
func (p *Permitter) NeedsPermit(s *viewer.Server, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.limited[runOf(s)]
	return r != nil && r.rate(now) > 0
}

// Check reports whether a server may get a request now.
func (p *Permitter) Check(s *viewer.Server, now time.Time) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.unavailable[runOf(s)]; r != nil && r.leaving {
		return Verdict{Reason: Leaving}
	} else if r != nil && now.Before(r.rest) {
		return Verdict{Reason: Resting, Until: r.rest}
	}
	r := p.limited[runOf(s)]
	if r == nil || r.rate(now) == 0 {
		return Verdict{}
	}
	p.counts.Expired += int64(r.expire(now))
	if len(r.permits) > 0 {
		return Verdict{}
	}
	return Verdict{Reason: Limited, Until: r.demand.next}
}

// Permit allows one request. The zero value is that of a server without a limit.
type Permit struct {
	Expires time.Time // when the request must have been sent; zero if at any time
}

// Valid reports whether the request may still be sent.
func (t Permit) Valid(now time.Time) bool { return t.Expires.IsZero() || now.Before(t.Expires) }

// Take uses a permit if the server has a limit. It reports false if there is none, or if
// the server may not get a request for another reason.
func (p *Permitter) Take(s *viewer.Server, now time.Time) (Permit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.unavailable[runOf(s)]; r != nil && (r.leaving || now.Before(r.rest)) {
		return Permit{}, false
	}
	r := p.limited[runOf(s)]
	if r == nil || r.rate(now) == 0 {
		return Permit{}, true
	}
	p.counts.Expired += int64(r.expire(now))
	if len(r.permits) == 0 {
		return Permit{}, false
	}
	expires := r.permits[0]
	r.permits = r.permits[1:]
	p.counts.Used++
	return Permit{Expires: expires}, true
}

// invalidInterval is the shortest time between two reports of values of one server that
// can't be used.
const invalidInterval = 10 * time.Second

// ReportInvalid reports whether values of a server that can't be used are to be reported
// now: they may be in each of its answers.
func (p *Permitter) ReportInvalid(s *viewer.Server, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := runOf(s)
	r := p.records[key]
	if r == nil {
		r = p.add(key)
	}
	r.touched = now
	if !r.reported.IsZero() && now.Sub(r.reported) < invalidInterval {
		return false
	}
	r.reported = now
	return true
}

// Want records that a request waits for a permit of one of the given servers, and returns
// when it can expect one, zero if that is unknown. The request must call it again at least
// every 100 ms for as long as it waits. It is assigned to the server that is expected to
// have a permit first, and keeps it while that server has a limit.
func (p *Permitter) Want(servers []*viewer.Server, attempt string, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, found := p.wants[attempt]
	found = found && slices.ContainsFunc(servers, func(s *viewer.Server) bool { return runOf(s) == w.run }) && p.limited[w.run] != nil
	if !found {
		best, ok := p.soonest(servers, attempt, now)
		if !ok {
			return time.Time{}
		}
		w = want{run: best, since: now}
		p.signal()
	}
	w.noted = now
	p.wants[attempt] = w
	r := p.limited[w.run]
	r.touched = now
	if r.demand.next.IsZero() {
		return time.Time{}
	}
	position := 0
	for _, other := range p.wants {
		if other.run == w.run && other.since.Before(w.since) {
			position++
		}
	}
	expected := r.demand.next.Add(time.Duration(position) * r.demand.interval)
	if expected.Before(now) {
		return now
	}
	return expected
}

// soonest returns the run of the server for which a new request waits for the shortest
// time: the expected time of the next permit, and of those for the requests before it.
// Of equal ones it returns one that depends on the attempt.
func (p *Permitter) soonest(servers []*viewer.Server, attempt string, now time.Time) (run, bool) {
	tie := xxhash.Sum64String(attempt)
	waiting := map[run]int{}
	for _, w := range p.wants {
		waiting[w.run]++
	}
	type option struct {
		key   run
		delay time.Duration
		order uint64
	}
	var options []option
	for _, s := range servers {
		key := runOf(s)
		r := p.limited[key]
		if r == nil || r.rate(now) == 0 {
			continue
		}
		interval := max(r.demand.interval, time.Duration(float64(time.Second)/(allocatedShare*r.rate(now))))
		delay := time.Duration(waiting[key]) * interval
		if !r.demand.next.IsZero() {
			delay += max(0, r.demand.next.Sub(now))
		}
		options = append(options, option{key, delay, ranker.Weight(tie, xxhash.Sum64String(string(s.ID)))})
	}
	if len(options) == 0 {
		return run{}, false
	}
	return slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.order, b.order))
	}).key, true
}

// Counts returns the numbers of events since the start.
func (p *Permitter) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// LimitedServers returns the number of servers that have a limit.
func (p *Permitter) LimitedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.limited)
}

// recordMemory is the time without use after which the record of a run is dropped if the
// run has ended.
const recordMemory = time.Minute

// Expire drops the records of runs that have ended, as the given servers show, and that
// were not used for a minute.
func (p *Permitter) Expire(servers map[viewer.ServerID]*viewer.Server, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.records {
		if s := servers[key.server]; (s == nil || s.StartMillis != key.born) && now.Sub(r.touched) > recordMemory {
			delete(p.records, key)
			delete(p.limited, key)
			delete(p.urgent, key)
			delete(p.unavailable, key)
		}
	}
	maps.DeleteFunc(p.unavailable, func(_ run, r *record) bool { return !r.leaving && !now.Before(r.rest) })
}
