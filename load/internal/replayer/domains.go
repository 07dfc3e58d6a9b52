package replayer

import (
	"time"

	"bamboohill/core/emulator"
)

// Domains counts the work by failure domain.
type Domains struct {
	Own, Other           int // tokens of prompts decoded in the domain of their entry, and in others
	PartsOwn, PartsOther int // parts prefilled by helpers in the domain of the decoding engine, and in others
}

// OwnShare returns the share of the tokens that were decoded in the domain of their entry.
func (d Domains) OwnShare() float64 { return share(d.Own, d.Other) }

// PartsOwnShare returns the share of the parts that did not leave their domain.
func (d Domains) PartsOwnShare() float64 { return share(d.PartsOwn, d.PartsOther) }

func share(a, b int) float64 { return float64(a) / float64(max(1, a+b)) }

// Rates of the callers of a failure domain in Alternating, relative to their mean: each of
// the domains has its wave in turn.
const (
	waveDomains = 3
	turnLength  = 4 * time.Second
	waveRate    = 1.8
	calmRate    = (waveDomains - waveRate) / (waveDomains - 1)
)

// Alternating returns waves of short and of long prompts over three failure domains whose
// callers' traffic swings at different moments.
func Alternating(entries, engines int, scale float64) Load {
	l := Crowd()
	l.Engines, l.Entries, l.UpdateDelay, l.Length = engines, entries, 20*time.Millisecond, 24*time.Second
	for i, rate := range []float64{75, 9, 1.7} {
		l.Classes[i].Rate = scale * rate
	}
	l.Phases = Waves().Phases
	l.Domains = waveDomains
	l.DomainRate = func(domain int, at time.Duration) float64 {
		if int(at/turnLength)%waveDomains == domain {
			return waveRate
		}
		return calmRate
	}
	return l
}

// drawDomain returns the domain of a caller whose request arrives at a time.
func (r *replay) drawDomain(at time.Duration) int {
	n := r.config.Load.Domains
	if n <= 1 {
		return 0
	}
	left := r.random.Float64() * float64(n)
	for domain := range n - 1 {
		if left -= r.config.Load.DomainRate(domain, at); left < 0 {
			return domain
		}
	}
	return n - 1
}

// entry returns a random entry of the domain of a request.
func (r *replay) entry(q *request) int {
	n := r.config.Load.Domains
	if n <= 1 {
		return r.random.IntN(len(r.trackers))
	}
	return q.domain + n*r.random.IntN((len(r.trackers)-q.domain+n-1)/n)
}

// remote reports whether an engine is in another domain than an entry.
func (r *replay) remote(entry, engine int) bool {
	n := r.config.Load.Domains
	return n > 0 && entry%n != r.domainOf(engine)
}

// domainOf returns the domain of an engine.
func (r *replay) domainOf(engine int) int {
	if r.config.Load.DomainOf != nil {
		return r.config.Load.DomainOf(engine)
	}
	return engine % r.config.Load.Domains
}

// recordDomains counts the work of a job by domain.
func (r *replay) recordDomains(entry int, j emulator.Job) {
	if r.config.Load.Domains == 0 {
		return
	}
	d := &r.result.Domains
	if r.remote(entry, j.Engine) {
		d.Other += j.Tokens
	} else {
		d.Own += j.Tokens
	}
	for _, h := range j.Helpers {
		if r.domainOf(h) == r.domainOf(j.Engine) {
			d.PartsOwn++
		} else {
			d.PartsOther++
		}
	}
}
