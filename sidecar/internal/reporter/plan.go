package reporter

import (
	"fmt"
	"slices"
	"time"

	"bamboohill/wire"
)

// Bounds of a plan.
const (
	longest     = time.Minute // between two heartbeats
	savedRounds = 2           // in a row that answers may stand in for
	newsAtOnce  = 4           // rounds ahead of time, until the pace allows more
	retryAfter  = time.Second // of an entry that did not answer
	spreadPart  = 0.1         // of the time between rounds, either way
)

// essence is what of a report must not wait for the pace.
type essence string

// essenceOf returns what decides whether and which work may come: state,
// models and a cold start.
func essenceOf(r *wire.Report) essence {
	text := fmt.Sprint(r.GetState(), r.GetCold(), r.GetRole())
	for _, o := range r.GetOffers() {
		text += fmt.Sprint(" ", o.GetModel(), "@", o.GetVersion(), o.GetAdapters())
	}
	return essence(text)
}

// look is what is known at one moment.
type look struct {
	now     time.Time
	every   time.Duration // between rounds
	picked  []string      // entries that hear this server
	told    []string      // of them, those that an answer told within every
	failing []string      // of them, those that have not answered, and are not replaced yet
	essence essence
	jitter  float64 // 0 to 1
}

// todo is what to send: a whole round to all that are picked, or a report alone
// to some.
type todo struct {
	whole bool
	to    []string
	saved int // heartbeats that answers stood in for
}

// plan decides when heartbeats are due. It is a pure state: it reads no clock.
type plan struct {
	floor   time.Duration // the least time between looks
	due     time.Time     // of the next round
	retry   time.Time     // of those that failed
	saved   int           // rounds in a row that were not whole
	last    essence       // that entries were told
	ahead   float64       // rounds ahead of time, less what the pace has allowed since
	counted time.Time
}

// next returns what to send at one moment and takes note of it.
func (p *plan) next(l look) todo {
	p.allow(l)
	switch {
	case l.essence != p.last && p.ahead < newsAtOnce:
		p.ahead++
		p.sent(l.now, l.every, l.essence, l.jitter)
		return todo{whole: true}
	case !l.now.Add(p.floor / 2).Before(p.due):
		return p.round(l)
	case len(l.failing) > 0 && !l.now.Before(p.retry):
		p.retry = l.now.Add(max(p.floor, retryAfter))
		return todo{to: l.failing}
	}
	return todo{}
}

// allow lets rounds ahead of time be forgotten at the pace of the others.
func (p *plan) allow(l look) {
	if !p.counted.IsZero() && l.every > 0 {
		p.ahead = max(0, p.ahead-float64(l.now.Sub(p.counted))/float64(l.every))
	}
	p.counted = l.now
}

// round decides on a round that is due. Entries that an answer told lately need
// no report, but the cache's events go to all or to none.
func (p *plan) round(l look) todo {
	if len(l.told) == 0 || p.saved >= savedRounds {
		p.sent(l.now, l.every, l.essence, l.jitter)
		return todo{whole: true}
	}
	p.saved++
	p.put(l.now, l.every, l.jitter)
	to := slices.DeleteFunc(slices.Clone(l.picked), func(a string) bool { return slices.Contains(l.told, a) })
	return todo{to: to, saved: len(l.told)}
}

// sent notes that a whole round goes out.
func (p *plan) sent(now time.Time, every time.Duration, e essence, jitter float64) {
	p.saved = 0
	p.last = e
	p.put(now, every, jitter)
}

// put sets when the next round is due: about every later, so that sidecars that
// started together do not stay together.
func (p *plan) put(now time.Time, every time.Duration, jitter float64) {
	if every > 2*p.floor {
		every += time.Duration((2*jitter - 1) * spreadPart * float64(every))
	}
	p.due = now.Add(every)
	p.retry = now.Add(max(p.floor, retryAfter))
}
