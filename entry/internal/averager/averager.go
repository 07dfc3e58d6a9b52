package averager

import (
	"math"
	"sync"

	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// defaultMost is how many kinds are kept.
const defaultMost = 64

// negligible is the demand below which a kind is forgotten, in tokens.
const negligible = 1

// largest is the most demand for one kind that is believed, in tokens.
const largest = 1e15

// Kind names a kind of demand by a hash, so that it takes four bytes on its
// way between entries.
type Kind uint32

// KindOf returns the kind of demand for a version of a model; an empty version
// is that of any.
func KindOf(model, version string) Kind {
	return Kind(xxhash.Sum64String(model + "\x00" + version))
}

// Config describes an Averager. The zero Most keeps 64 kinds.
type Config struct {
	MaxKinds int
}

// Averager holds one entry's estimates. It is safe for concurrent use.
type Averager struct {
	config Config

	mu     sync.Mutex
	values map[Kind]float64 // tokens
}

// New returns an averager that has seen no demand.
func New(config Config) *Averager {
	if config.MaxKinds <= 0 {
		config.MaxKinds = defaultMost
	}
	return &Averager{config: config, values: map[Kind]float64{}}
}

// Record counts demand that this entry sees.
func (a *Averager) Record(k Kind, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(k, float64(tokens))
}

// Decay multiplies every estimate by a factor below 1.
func (a *Averager) Decay(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, tokens := range a.values {
		a.values[k] = tokens * factor
		if a.values[k] < negligible {
			delete(a.values, k)
		}
	}
}

// Mean returns the estimate of one kind in tokens an entry.
func (a *Averager) Mean(k Kind) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.values[k]
}

// Total returns the estimates of all kinds together, in tokens an entry.
func (a *Averager) Total() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0.0
	for _, tokens := range a.values {
		total += tokens
	}
	return total
}

// Snapshot returns what a greeting tells of this entry's estimates.
func (a *Averager) Snapshot() *wire.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.offer()
}

func (a *Averager) offer() *wire.Demand {
	d := &wire.Demand{}
	for k, tokens := range a.values {
		d.Kinds = append(d.Kinds, uint32(k))
		d.Tokens = append(d.Tokens, float32(tokens))
	}
	return d
}

// Exchange takes another entry's offer, moves half the way towards it and
// returns this entry's offer from before. A nil offer is that of a process
// that takes no part: nothing moves, and the answer is nil.
func (a *Averager) Exchange(theirs *wire.Demand) *wire.Demand {
	if theirs == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	mine := a.offer()
	a.move(read(mine), read(theirs))
	return mine
}

// ApplyReply moves this entry, which sent an offer, as much as the other one moved
// on it. What was noted meanwhile stays.
func (a *Averager) ApplyReply(sent, reply *wire.Demand) {
	if sent == nil || reply == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.move(read(sent), read(reply))
}

// move adds half of what theirs has more than mine; the lock is held.
func (a *Averager) move(mine, theirs map[Kind]float64) {
	for k, tokens := range theirs {
		a.add(k, (tokens-mine[k])/2)
	}
	for k, tokens := range mine {
		if _, found := theirs[k]; !found {
			a.add(k, -tokens/2)
		}
	}
}

// add adds to one estimate and keeps the largest ones if there are too many;
// the lock is held.
func (a *Averager) add(k Kind, tokens float64) {
	if a.values[k] += tokens; a.values[k] <= 0 {
		delete(a.values, k)
		return
	}
	if len(a.values) <= a.config.MaxKinds {
		return
	}
	least := k
	for other, tokens := range a.values {
		if tokens < a.values[least] {
			least = other
		}
	}
	delete(a.values, least)
}

// read returns an offer's estimates, but those that can't be.
func read(d *wire.Demand) map[Kind]float64 {
	all := make(map[Kind]float64, len(d.GetKinds()))
	for i, k := range d.GetKinds()[:min(len(d.GetKinds()), len(d.GetTokens()))] {
		if tokens := float64(d.GetTokens()[i]); tokens > 0 && tokens < largest && !math.IsNaN(tokens) {
			all[Kind(k)] = tokens
		}
	}
	return all
}
