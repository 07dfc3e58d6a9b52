package averager

import (
	"math"
	"sync"

	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
)

// defaultMaxKinds is the number of kinds that are kept by default.
const defaultMaxKinds = 64

// minTokens is the demand, in tokens, below which a kind is removed.
const minTokens = 1

// maxTokens is the largest demand for one kind, in tokens, that is accepted
// from another entry.
const maxTokens = 1e15

// Kind identifies a kind of demand by a hash, so that it takes four bytes in a
// message.
type Kind uint32

// KindOf returns the kind of demand for a version of a model. An empty version
// stands for any version.
func KindOf(model, version string) Kind {
	return Kind(xxhash.Sum64String(model + "\x00" + version))
}

// Config describes an Averager. MaxKinds is the number of kinds that are kept,
// those with the largest estimates; the zero value stands for 64.
type Config struct {
	MaxKinds int
}

// Averager holds the estimates of one entry. It is safe for concurrent use.
type Averager struct {
	config Config

	mu     sync.Mutex
	values map[Kind]float64 // tokens
}

// New returns an averager without any demand.
func New(config Config) *Averager {
	if config.MaxKinds <= 0 {
		config.MaxKinds = defaultMaxKinds
	}
	return &Averager{config: config, values: map[Kind]float64{}}
}

// Record adds tokens of a request that this entry received to the estimate of
// one kind.
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
		if a.values[k] < minTokens {
			delete(a.values, k)
		}
	}
}

// Mean returns the estimated mean demand of one kind, in tokens per entry.
func (a *Averager) Mean(k Kind) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.values[k]
}

// Total returns the sum of the estimates of all kinds, in tokens per entry.
func (a *Averager) Total() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0.0
	for _, tokens := range a.values {
		total += tokens
	}
	return total
}

// Snapshot returns this entry's estimates as a greeting carries them.
func (a *Averager) Snapshot() *wire.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshot()
}

func (a *Averager) snapshot() *wire.Demand {
	d := &wire.Demand{}
	for k, tokens := range a.values {
		d.Kinds = append(d.Kinds, uint32(k))
		d.Tokens = append(d.Tokens, float32(tokens))
	}
	return d
}

// Exchange handles a snapshot that another entry sent: it moves this entry's
// estimates halfway towards it and returns this entry's snapshot from before.
// It changes nothing and returns nil if theirs is nil, which means that the
// sender does not take part in the averaging.
func (a *Averager) Exchange(theirs *wire.Demand) *wire.Demand {
	if theirs == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	mine := a.snapshot()
	a.move(decode(mine), decode(theirs))
	return mine
}

// ApplyReply completes an exchange that this entry started: it moves the
// estimates halfway from the snapshot that was sent towards the reply, which is
// as far as the other entry moved. Demand that was recorded between the two is
// kept. It does nothing if either is nil.
func (a *Averager) ApplyReply(sent, reply *wire.Demand) {
	if sent == nil || reply == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.move(decode(sent), decode(reply))
}

// move adds half of the difference theirs - mine to the estimates. The caller
// holds the lock.
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

// add adds tokens to one estimate. If there are then more than MaxKinds, it
// removes the smallest one. The caller holds the lock.
func (a *Averager) add(k Kind, tokens float64) {
	if a.values[k] += tokens; a.values[k] <= 0 {
		delete(a.values, k)
		return
	}
	if len(a.values) <= a.config.MaxKinds {
		return
	}
	smallest := k
	for other, tokens := range a.values {
		if tokens < a.values[smallest] {
			smallest = other
		}
	}
	delete(a.values, smallest)
}

// decode returns the estimates of a snapshot without invalid values.
func decode(d *wire.Demand) map[Kind]float64 {
	all := make(map[Kind]float64, len(d.GetKinds()))
	for i, k := range d.GetKinds()[:min(len(d.GetKinds()), len(d.GetTokens()))] {
		if tokens := float64(d.GetTokens()[i]); tokens > 0 && tokens < maxTokens && !math.IsNaN(tokens) {
			all[Kind(k)] = tokens
		}
	}
	return all
}
