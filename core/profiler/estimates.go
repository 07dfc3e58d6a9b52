package profiler

import (
	"math"
	"slices"
	"time"
)

// Windows of the estimates, as time constants of an exponential decay. After a shift of
// the mix, recentWindow leaves a fiftieth of the weight to the time before it within two
// seconds; usualWindow holds enough requests of kinds that come once a second.
const (
	recentWindow = 500 * time.Millisecond
	usualWindow  = 10 * time.Second
)

// floor is the number of samples below which a mean is not trusted by itself. The sizes of
// requests of one kind vary by about their mean; a mean of eight is off by about a third,
// which changes decisions little.
const floor = 8

// expiry is the age after which what another entry has told no longer counts.
const expiry = 1500 * time.Millisecond

// Sums are exponentially decaying sums over the requests of a kind.
type Sums struct {
	Prompts float64 // number of prompts
	Tokens  float64 // in these prompts
	Slots   float64 // number of answers that ended
	Held    float64 // seconds for which these held a slot
}

func (s Sums) scaled(factor float64) Sums {
	return Sums{Prompts: factor * s.Prompts, Tokens: factor * s.Tokens, Slots: factor * s.Slots, Held: factor * s.Held}
}

func (s Sums) add(other Sums) Sums {
	return Sums{Prompts: s.Prompts + other.Prompts, Tokens: s.Tokens + other.Tokens, Slots: s.Slots + other.Slots, Held: s.Held + other.Held}
}

// Sample is what one entry has seen of a kind.
type Sample struct{ Recent, Usual Sums }

func (s Sample) decayed(age time.Duration) Sample {
	age = max(0, age)
	return Sample{
		Recent: s.Recent.scaled(math.Exp(-float64(age) / float64(recentWindow))),
		Usual:  s.Usual.scaled(math.Exp(-float64(age) / float64(usualWindow))),
	}
}

// Adds reports whether requests have been recorded since a sample that was told at an age
// before s, as far as half a request can be told apart from rounding.
func (s Sample) Adds(told Sample, age time.Duration) bool {
	then := told.decayed(age).Usual
	return s.Usual.Prompts-then.Prompts > leastChange || s.Usual.Slots-then.Slots > leastChange
}

// leastChange is the number of requests from which a sample counts as changed. Each request
// adds one.
const leastChange = 0.5

func (s Sample) add(other Sample) Sample {
	return Sample{Recent: s.Recent.add(other.Recent), Usual: s.Usual.add(other.Usual)}
}

// Traffic is what all entries have recently seen of each kind.
type Traffic map[Kind]Sample

// Rate returns the number of requests of a kind per second: over the last half second,
// or over the last ten if few came.
func (s Sample) Rate() float64 {
	if s.Recent.Prompts >= floor {
		return s.Recent.Prompts / recentWindow.Seconds()
	}
	return s.Usual.Prompts / usualWindow.Seconds()
}

// Prompt returns the mean number of tokens of a prompt. The fewer samples there are, the
// more weight has the fallback.
func (s Sample) Prompt(fallback float64) float64 {
	return mean(s.Recent.Prompts, s.Recent.Tokens, mean(s.Usual.Prompts, s.Usual.Tokens, fallback))
}

// Held returns the mean time for which a request holds a slot, in seconds.
func (s Sample) Held(fallback float64) float64 {
	return mean(s.Recent.Slots, s.Recent.Held, mean(s.Usual.Slots, s.Usual.Held, fallback))
}

// mean returns the mean of n samples with a sum. Missing samples count as the fallback.
func mean(n, sum, fallback float64) float64 {
	missing := max(0, floor-n)
	return (sum + missing*fallback) / (n + missing)
}

type told struct {
	kinds    []Kind
	samples  []Sample // of the kinds with the same index
	received time.Time
}

type own struct {
	sample  Sample
	updated time.Time
}

// Estimates measures the requests of each kind, at this entry and at those that tell it
// theirs. It is not safe for concurrent use.
type Estimates struct {
	kinds map[Kind]*own
	peers map[string]told
}

// NewEstimates returns Estimates without any sample.
func NewEstimates() *Estimates {
	return &Estimates{kinds: map[Kind]*own{}, peers: map[string]told{}}
}

// RecordPrompt records a prompt that was sent to an engine.
func (e *Estimates) RecordPrompt(k Kind, tokens int, now time.Time) {
	e.record(k, Sums{Prompts: 1, Tokens: float64(tokens)}, now)
}

// RecordSlot records that a request has ended that held a slot for a time.
func (e *Estimates) RecordSlot(k Kind, held time.Duration, now time.Time) {
	e.record(k, Sums{Slots: 1, Held: held.Seconds()}, now)
}

func (e *Estimates) record(k Kind, s Sums, now time.Time) {
	o, found := e.kinds[k]
	if !found {
		o = &own{updated: now}
		e.kinds[k] = o
	}
	o.sample = o.sample.decayed(now.Sub(o.updated)).add(Sample{Recent: s, Usual: s})
	o.updated = now
}

// Retain removes what was measured of other kinds than those of a configuration.
func (e *Estimates) Retain(kinds *Kinds) {
	for k := range e.kinds {
		if !kinds.has(k) {
			delete(e.kinds, k)
		}
	}
}

func (k *Kinds) has(kind Kind) bool { return k.At(k.Index(kind)) == kind }

// Own returns what this entry has seen of a kind itself.
func (e *Estimates) Own(k Kind, now time.Time) Sample {
	o, found := e.kinds[k]
	if !found {
		return Sample{}
	}
	return o.sample.decayed(now.Sub(o.updated))
}

// ApplyPeer replaces what another entry has seen: the samples of the kinds with the same
// index. What the longer list has more is ignored. The lists must not be changed afterwards.
func (e *Estimates) ApplyPeer(entry string, kinds []Kind, samples []Sample, now time.Time) {
	n := min(len(kinds), len(samples))
	e.peers[entry] = told{kinds: kinds[:n], samples: samples[:n], received: now}
}

// UpdatePeer replaces what another entry has seen of some kinds, as ApplyPeer does. What it
// told of the others before still counts.
func (e *Estimates) UpdatePeer(entry string, kinds []Kind, samples []Sample, now time.Time) {
	n := min(len(kinds), len(samples))
	kinds, samples = kinds[:n:n], samples[:n:n]
	old := e.peers[entry]
	if age := now.Sub(old.received); age <= expiry {
		for i, k := range old.kinds {
			if !slices.Contains(kinds[:n], k) {
				kinds, samples = append(kinds, k), append(samples, old.samples[i].decayed(age))
			}
		}
	}
	e.ApplyPeer(entry, kinds, samples, now)
}

// Traffic returns what all entries have seen of each kind of a list. What another entry
// told of another kind counts for the nearest one.
func (e *Estimates) Traffic(kinds *Kinds, now time.Time) Traffic {
	result := make(Traffic, kinds.Len())
	for i := range kinds.Len() {
		k := kinds.At(i)
		result[k] = e.Own(k, now)
	}
	for name, p := range e.peers {
		age := now.Sub(p.received)
		if age > expiry {
			delete(e.peers, name)
			continue
		}
		for i, s := range p.samples {
			k := kinds.At(kinds.Index(p.kinds[i]))
			result[k] = result[k].add(s.decayed(age))
		}
	}
	return result
}
