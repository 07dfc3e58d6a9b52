package reporter

import (
	"fmt"
	"slices"
	"time"

	"bamboohill/wire"
)

// Limits of a plan.
const (
	maxInterval      = time.Minute // longest time between two heartbeats
	maxPartialRounds = 2           // consecutive rounds that may leave out entries which got the report with an answer
	maxExtraRounds   = 4           // rounds before their time; the count decays by one per interval
	retryInterval    = time.Second // shortest time between two reports to an entry that does not answer
	jitterFraction   = 0.1         // largest deviation of the time between rounds, as a fraction of it
)

// availability is the part of a report whose change is sent without waiting for
// the next round.
type availability string

// availabilityOf returns the fields of a report that decide whether requests may
// be sent to this server and which: state, cold start, role and models.
func availabilityOf(r *wire.Report) availability {
	text := fmt.Sprint(r.GetState(), r.GetCold(), r.GetRole())
	for _, o := range r.GetOffers() {
		text += fmt.Sprint(" ", o.GetModel(), "@", o.GetVersion(), o.GetAdapters())
	}
	return availability(text)
}

// snapshot is the input of a plan at one moment.
type snapshot struct {
	now          time.Time
	interval     time.Duration // time between rounds
	selected     []string      // entries that get reports from this server
	informed     []string      // selected entries that got a report with an answer within the last interval
	failing      []string      // selected entries that did not answer and must be retried soon
	availability availability
	jitter       float64 // 0 to 1
}

// action is what to send: a full round, which is a report with cache events to
// all selected entries, or a report without events to some entries.
type action struct {
	full    bool
	to      []string
	skipped int // heartbeats left out because an answer carried the report
}

// plan decides when heartbeats are due. It does not read the clock; the time is
// part of its input.
type plan struct {
	minInterval   time.Duration // shortest time between two calls of next
	due           time.Time     // time of the next round
	retryAt       time.Time     // time of the next report to entries that do not answer
	partialRounds int           // consecutive rounds that were not full
	lastSent      availability  // availability in the last full round
	extraRounds   float64       // rounds before their time, less one per interval since
	decayedAt     time.Time     // when extraRounds was last reduced
}

// next returns what to send at one moment and updates the plan as if it were sent.
func (p *plan) next(s snapshot) action {
	p.decay(s)
	switch {
	case s.availability != p.lastSent && p.extraRounds < maxExtraRounds:
		p.extraRounds++
		p.recordFull(s.now, s.interval, s.availability, s.jitter)
		return action{full: true}
	case !s.now.Add(p.minInterval / 2).Before(p.due):
		return p.dueRound(s)
	case len(s.failing) > 0 && !s.now.Before(p.retryAt):
		p.retryAt = s.now.Add(max(p.minInterval, retryInterval))
		return action{to: s.failing}
	}
	return action{}
}

// decay reduces the count of extra rounds by one per interval.
func (p *plan) decay(s snapshot) {
	if !p.decayedAt.IsZero() && s.interval > 0 {
		p.extraRounds = max(0, p.extraRounds-float64(s.now.Sub(p.decayedAt))/float64(s.interval))
	}
	p.decayedAt = s.now
}

// dueRound decides what to send in a round that is due. Entries that just got a
// report with an answer need none, but the cache events are sent to all entries
// or to none.
func (p *plan) dueRound(s snapshot) action {
	if len(s.informed) == 0 || p.partialRounds >= maxPartialRounds {
		p.recordFull(s.now, s.interval, s.availability, s.jitter)
		return action{full: true}
	}
	p.partialRounds++
	p.schedule(s.now, s.interval, s.jitter)
	to := slices.DeleteFunc(slices.Clone(s.selected), func(a string) bool { return slices.Contains(s.informed, a) })
	return action{to: to, skipped: len(s.informed)}
}

// recordFull records that a full round is sent.
func (p *plan) recordFull(now time.Time, interval time.Duration, a availability, jitter float64) {
	p.partialRounds = 0
	p.lastSent = a
	p.schedule(now, interval, jitter)
}

// schedule sets the time of the next round. Random jitter keeps sidecars that
// started at the same time from sending at the same time.
func (p *plan) schedule(now time.Time, interval time.Duration, jitter float64) {
	if interval > 2*p.minInterval {
		interval += time.Duration((2*jitter - 1) * jitterFraction * float64(interval))
	}
	p.due = now.Add(interval)
	p.retryAt = now.Add(max(p.minInterval, retryInterval))
}
