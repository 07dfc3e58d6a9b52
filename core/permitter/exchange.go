package permitter

import (
	"math"
	"time"

	"bamboohill/core/viewer"
	"bamboohill/wire"
)

// Parameters of the messages between entries.
const (
	noticeCopies   = 2                      // of a new notice, as a datagram may be lost
	noticeInterval = 100 * time.Millisecond // between two urgent notices on one server
	noticeMemory   = time.Minute            // for which the end of a limit is part of the regular notices
	demandInterval = 250 * time.Millisecond // between two equal demands
	demandGap      = 30 * time.Millisecond  // between two demands for one server
	// answerTimeout is the time without a grant after which a demand goes to the entry
	// that takes over from the owner.
	answerTimeout = 600 * time.Millisecond
	maxOwners     = 3                      // entries that a demand is sent to, one after another
	minWait       = time.Millisecond       // between two calls of Outbox
	maxWanted     = 64                     // permits wanted by one entry
	skew          = 100 * time.Millisecond // longest usual transit of a message
	maxRecords    = 16384                  // runs about which notices of other entries are kept
)

// Message is what an entry sends to another one, or to all if To is empty.
type Message struct {
	To      string
	Content *wire.Outstanding // notices, demands and grants only
}

// outbox collects messages by recipient.
type outbox map[string]*wire.Outstanding

func (o outbox) to(address string) *wire.Outstanding {
	if o[address] == nil {
		o[address] = &wire.Outstanding{}
	}
	return o[address]
}

// Outbox returns the messages that are due, and the time until it must be called again
// even if Changed receives no value.
func (p *Permitter) Outbox(now time.Time) ([]Message, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.electorate.update(now)
	out := outbox{}
	next := demandInterval
	for key, r := range p.urgent {
		if !now.Before(r.nextNotice) {
			out.to("").Notices = append(out.to("").Notices, notice(key, r, now))
			r.notices--
			r.nextNotice = now.Add(noticeInterval)
		}
		if r.notices == 0 {
			delete(p.urgent, key)
			continue
		}
		next = min(next, r.nextNotice.Sub(now))
	}
	waiting := p.countWants(now)
	for key, r := range p.limited {
		if r.rate(now) == 0 {
			p.index(key, r, now)
			continue
		}
		if due := p.exchangePermits(key, r, waiting[key], out, now); due > 0 {
			next = min(next, due)
		}
	}
	messages := make([]Message, 0, len(out))
	for to, content := range out {
		messages = append(messages, Message{To: to, Content: content})
	}
	return messages, max(next, minWait)
}

// countWants drops the requests that no longer wait and returns the number of the others
// for each server.
func (p *Permitter) countWants(now time.Time) map[run]int {
	n := map[run]int{}
	for attempt, w := range p.wants {
		if now.Sub(w.noted) > wantLifetime {
			delete(p.wants, attempt)
			continue
		}
		n[w.run]++
	}
	return n
}

// exchangePermits adds the demand of this entry for one server, and the grants if this
// entry is the owner. It returns the time until it must be called again, 0 if there is
// nothing to do.
func (p *Permitter) exchangePermits(key run, r *record, waiting int, out outbox, now time.Time) time.Duration {
	p.counts.Expired += int64(r.expire(now))
	if waiting == 0 && r.scarce {
		r.returned += len(r.permits)
		r.permits = nil
	}
	wanted := max(0, min(maxWanted, waiting-len(r.permits)))
	var due time.Duration
	if wanted > 0 || r.returned > 0 || r.demand.wanted > 0 {
		due = p.demand(key, r, wanted, out, now)
	}
	if wait := p.allocate(key, r, out, now); wait > 0 && (due == 0 || wait < due) {
		due = wait
	}
	return due
}

// demand tells the owner of a server's limit how many permits this entry wants, if it has
// to be told now. It returns the time until that may be due again.
func (p *Permitter) demand(key run, r *record, wanted int, out outbox, now time.Time) time.Duration {
	d := &r.demand
	wait := demandInterval
	if wanted != d.wanted || r.returned > 0 {
		wait = demandGap
	}
	if due := d.sent.Add(wait).Sub(now); due > 0 {
		return due
	}
	owners := p.electorate.owners(string(key.server), maxOwners)
	if len(owners) == 0 {
		return demandInterval
	}
	if d.wanted > 0 && now.Sub(d.answered) > answerTimeout {
		d.tried++
		d.answered = now // the next owner has as much time
	}
	owner := owners[d.tried%len(owners)]
	if d.wanted == 0 {
		d.answered = now
	}
	message := &wire.PermitDemand{Server: string(key.server), Born: key.born, Wanted: uint32(wanted), Returned: uint32(r.returned)}
	if now.Before(r.coldUntil) {
		message.Cold = r.cold
	}
	d.wanted, d.sent, r.returned = wanted, now, 0
	if owner == p.electorate.config.Self {
		p.receiveDemand(owner, key, r, message, out, now)
	} else {
		to := out.to(owner)
		to.Demands = append(to.Demands, message)
		if r.limit.Value() > 0 {
			to.Notices = append(to.Notices, notice(key, r, now))
		}
	}
	return demandInterval
}

// owns reports whether this entry is the owner of a server's limit.
func (p *Permitter) owns(key run) bool {
	owners := p.electorate.owners(string(key.server), 1)
	return len(owners) > 0 && owners[0] == p.electorate.config.Self
}

// receiveDemand records the demand of an entry, this one or another, and answers it, if
// this entry is the owner.
func (p *Permitter) receiveDemand(from string, key run, r *record, m *wire.PermitDemand, out outbox, now time.Time) {
	if !p.owns(key) {
		return
	}
	transit := grantTransit
	if from == p.electorate.config.Self {
		transit = 0
	}
	r.bucket.claim(from, int(min(m.GetWanted(), maxWanted)), int(min(m.GetReturned(), maxWanted)), transit, now)
	p.allocate(key, r, out, now)
	if m.GetWanted() == 0 {
		return
	}
	if from == p.electorate.config.Self {
		p.receiveGrant(r, p.grant(key, r, from, 0, now), now)
		return
	}
	if to := out.to(from); !hasGrant(to, key) {
		to.Grants = append(to.Grants, p.grant(key, r, from, 0, now))
	}
}

func hasGrant(o *wire.Outstanding, key run) bool {
	for _, g := range o.GetGrants() {
		if g.GetServer() == string(key.server) && g.GetBorn() == key.born {
			return true
		}
	}
	return false
}

// allocate grants the permits that are available to the entries that want them, if this
// entry is the owner. It returns the time until the next one is available, 0 if none is
// wanted.
func (p *Permitter) allocate(key run, r *record, out outbox, now time.Time) time.Duration {
	if len(r.bucket.claims) == 0 {
		if !r.bucket.filled.IsZero() {
			r.bucket.fill(p.rate(key, r, now), now)
		}
		return 0
	}
	if !p.owns(key) {
		r.bucket = bucket{}
		return 0
	}
	rate := p.rate(key, r, now)
	r.bucket.fill(rate, now)
	for entry, n := range r.bucket.grants(now) {
		g := p.grant(key, r, entry, n, now)
		if entry == p.electorate.config.Self {
			p.receiveGrant(r, g, now)
			continue
		}
		to := out.to(entry)
		to.Grants = append(to.Grants, g)
	}
	if wanted, _ := r.bucket.waiting(); wanted == 0 || rate <= 0 {
		return demandInterval
	}
	return max(minWait, time.Duration((1-r.bucket.tokens)/rate*float64(time.Second)))
}

// rate returns the permits per second that this entry may grant.
func (p *Permitter) rate(key run, r *record, now time.Time) float64 {
	return allocatedShare * r.rate(now) * p.electorate.share(string(key.server), now)
}

// grant returns a grant of n permits.
func (p *Permitter) grant(key run, r *record, entry string, n int, now time.Time) *wire.PermitGrant {
	wanted, entries := r.bucket.waiting()
	g := &wire.PermitGrant{Server: string(key.server), Born: key.born, Permits: uint32(n), Scarce: wanted > 0}
	rate := p.rate(key, r, now)
	if rate <= 0 {
		rate = allocatedShare * r.rate(now) // the pause after a change of the entries is short
	}
	interval := float64(time.Second.Milliseconds()) / rate
	g.WaitMs = uint32(math.Ceil(max(0, float64(r.bucket.turn(entry))-r.bucket.tokens) * interval))
	g.IntervalMs = uint32(math.Ceil(float64(max(1, entries)) * interval))
	return g
}

// receiveGrant records the permits and the expected waiting time of a grant.
func (p *Permitter) receiveGrant(r *record, g *wire.PermitGrant, now time.Time) {
	for range min(g.GetPermits(), maxWanted) {
		r.permits = append(r.permits, now.Add(permitLifetime))
		p.counts.Granted++
	}
	d := &r.demand
	d.wanted = max(0, d.wanted-int(g.GetPermits()))
	d.answered, d.tried = now, 0
	d.next = now.Add(time.Duration(g.GetWaitMs()) * time.Millisecond)
	d.interval = time.Duration(g.GetIntervalMs()) * time.Millisecond
	r.scarce = g.GetScarce()
}

// notice returns what is known of a run.
func notice(key run, r *record, now time.Time) *wire.ServerNotice {
	return &wire.ServerNotice{
		Server: string(key.server), Born: key.born, Limit: r.limit.Value(), Leaving: r.leaving,
		AskedMs: now.Sub(r.limit.asked).Milliseconds(), HeardMs: now.Sub(r.limit.heard).Milliseconds(),
	}
}

// Hear records a message of another entry: it is alive.
func (p *Permitter) Hear(address string, incarnation uint64, leaving bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.electorate.hear(address, incarnation, leaving, now)
}

// Know records that another entry exists, from which no message may have arrived yet.
func (p *Permitter) Know(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.electorate.know(address, now)
}

// Leave records that this entry is stopping. It owns no limits from then on.
func (p *Permitter) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.electorate.leaving = true
}

// Receive applies the notices, demands and grants of another entry. It returns the notices
// that were new, and the messages that answer the demands.
func (p *Permitter) Receive(from string, o *wire.Outstanding, now time.Time) ([]*wire.ServerNotice, []Message) {
	if len(o.GetNotices())+len(o.GetDemands())+len(o.GetGrants()) == 0 {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var changed []*wire.ServerNotice
	for _, n := range o.GetNotices() {
		if p.receiveNotice(n, now) {
			changed = append(changed, n)
		}
	}
	p.electorate.update(now)
	out := outbox{}
	for _, d := range o.GetDemands() {
		key := run{server: viewer.ServerID(d.GetServer()), born: d.GetBorn()}
		r := p.limited[key]
		if cold := d.GetCold(); cold > 0 && len(p.records) < maxRecords {
			r = p.restrict(key, cold, now)
		}
		if r != nil && r.rate(now) > 0 {
			p.receiveDemand(from, key, r, d, out, now)
			continue
		}
		if ended := p.records[key]; ended != nil {
			out.to(from).Notices = append(out.to(from).Notices, notice(key, ended, now))
		}
	}
	for _, g := range o.GetGrants() {
		if r := p.limited[run{server: viewer.ServerID(g.GetServer()), born: g.GetBorn()}]; r != nil {
			p.receiveGrant(r, g, now)
		}
	}
	if len(o.GetDemands()) > 0 {
		p.signal() // the next permit is due sooner than the last Outbox knew
	}
	messages := make([]Message, 0, len(out))
	for to, content := range out {
		messages = append(messages, Message{To: to, Content: content})
	}
	return changed, messages
}

// receiveNotice applies a notice and reports whether it was new.
func (p *Permitter) receiveNotice(n *wire.ServerNotice, now time.Time) bool {
	key := run{server: viewer.ServerID(n.GetServer()), born: n.GetBorn()}
	r := p.records[key]
	if r == nil {
		if n.GetLimit() == 0 && !n.GetLeaving() || len(p.records) >= maxRecords {
			return false
		}
		r = p.add(key)
	}
	r.touched = now
	age := func(ms int64) time.Time { return now.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	leaves := n.GetLeaving() && !r.leaving
	if leaves {
		p.leave(key, r)
	}
	if r.limit.Apply(n.GetLimit(), age(n.GetAskedMs()).Add(-skew), age(n.GetHeardMs())) {
		p.index(key, r, now)
		return true
	}
	return leaves
}

// Notices returns some of what servers have said, for the regular messages to other
// entries; successive calls return all in turn.
func (p *Permitter) Notices(n int, now time.Time) []*wire.ServerNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.page) == 0 {
		for key := range p.records {
			p.page = append(p.page, key)
		}
	}
	var all []*wire.ServerNotice
	for len(p.page) > 0 && len(all) < n {
		key := p.page[0]
		p.page = p.page[1:]
		if r := p.records[key]; r != nil && r.notable(now) {
			all = append(all, notice(key, r, now))
		}
	}
	return all
}

// AllNotices returns what servers have said, at most n notices.
func (p *Permitter) AllNotices(n int, now time.Time) []*wire.ServerNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*wire.ServerNotice
	for key, r := range p.records {
		if len(all) < n && r.notable(now) {
			all = append(all, notice(key, r, now))
		}
	}
	return all
}
