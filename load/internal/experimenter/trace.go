package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bamboohill/core/hinter"
	"bamboohill/core/identifier"
	"bamboohill/core/router"
)

// Class is a prompt length class.
type Class int

// Length classes: up to 4,000 tokens, in between, and from 100,000 tokens.
const (
	Short Class = iota
	Medium
	Long
)

// Classes lists the length classes.
var Classes = [...]Class{Short, Medium, Long}

// String returns the name of the class in results.
func (c Class) String() string { return [...]string{"short", "middle", "long"}[c] }

// ClassOf returns the class of a prompt of the given number of tokens.
func ClassOf(prompt int64) Class {
	switch {
	case prompt <= router.ShortTokens:
		return Short
	case prompt >= router.LongTokens:
		return Long
	}
	return Medium
}

// Request is one request of a trace.
type Request struct {
	Arrival time.Duration // since the start of the run
	Account identifier.Account
	Prompt  int64         // tokens
	Shared  int64         // tokens of the prefix shared with other prompts
	Prefix  uint64        // hash that identifies the prefix
	Answer  int64         // tokens
	Timeout time.Duration // since Arrival
	Chain   hinter.Chain
	Class   Class
}

// Mix configures a trace. A Load of 1 means that the work of the trace, with
// each shared prefix prefilled once, keeps all engines busy for Length.
type Mix struct {
	Seed          uint64
	Engines       int
	Load          float64
	Length        time.Duration // duration of the arrivals
	TimeoutFactor float64       // multiplies the callers' timeouts, 1 if zero
	WithoutLong   bool          // omits prompts of class Long; the other requests are unchanged
	SurgeFactor   float64       // multiplies the requests of LargestAccount in the second half of Length
}

// classProfile describes the prompts of one class.
type classProfile struct {
	share        float64    // of the requests
	minTokens    float64    // of a prompt
	maxTokens    float64    // of a prompt
	answerTokens [2]float64 // range of an answer
	timeout      time.Duration
	prefixes     int        // number of shared prefixes of each account
	prefixTokens [2]float64 // range of a shared prefix
}

// profiles describes prompts from 1 k to 1 M tokens, one in fifty of which has
// more than 100 k.
var profiles = [...]classProfile{
	Short:  {share: 0.70, minTokens: 1_000, maxTokens: 4_000, answerTokens: [2]float64{32, 256}, timeout: 20 * time.Second, prefixes: 4, prefixTokens: [2]float64{512, 2_048}},
	Medium: {share: 0.28, minTokens: 4_000, maxTokens: 100_000, answerTokens: [2]float64{64, 512}, timeout: 45 * time.Second, prefixes: 8, prefixTokens: [2]float64{2_048, 50_000}},
	Long:   {share: 0.02, minTokens: 100_000, maxTokens: 1_000_000, answerTokens: [2]float64{128, 512}, timeout: 2 * time.Minute, prefixes: 3, prefixTokens: [2]float64{60_000, 600_000}},
}

// sharedPrefixShare is the share of requests whose prompt starts with a shared
// prefix.
const sharedPrefixShare = 0.6

// accountShares holds each client account's share of the requests.
var accountShares = [...]float64{0.30, 0.20, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

// LargestAccount is the account with the largest share of requests.
const LargestAccount = identifier.Account("account0")

// EngineSeconds returns the engine time in seconds that a request takes if the
// given number of its prompt tokens is cached.
func (q *Request) EngineSeconds(cached int64) float64 {
	return float64(q.Prompt-cached)/prefillRate*(1+decodeStepSeconds/(chunkTokens/prefillRate)) + float64(q.Answer)*stepSecondsPerStream
}

// Generate returns a trace, sorted by arrival.
func Generate(mix Mix) []*Request {
	g := &generator{random: rand.New(rand.NewPCG(mix.Seed, 1)), cachedPrefixes: map[uint64]int64{}, timeoutFactor: mix.TimeoutFactor}
	if g.timeoutFactor <= 0 {
		g.timeoutFactor = 1
	}
	total := mix.Load * float64(mix.Engines) * mix.Length.Seconds()
	var trace []*Request
	for work := 0.0; work < total; {
		q := g.request()
		cached := min(g.cachedPrefixes[q.Prefix], q.Shared)
		g.cachedPrefixes[q.Prefix] = max(g.cachedPrefixes[q.Prefix], q.Shared)
		work += q.EngineSeconds(cached)
		q.Arrival = time.Duration(g.random.Float64() * float64(mix.Length))
		trace = append(trace, q)
	}
	trace = append(trace, g.surgeRequests(mix, trace)...)
	if mix.WithoutLong {
		trace = slices.DeleteFunc(trace, func(q *Request) bool { return q.Class == Long })
	}
	slices.SortFunc(trace, func(a, b *Request) int { return int(a.Arrival - b.Arrival) })
	return trace
}

// surgeRequests returns the additional requests of LargestAccount during the surge.
func (g *generator) surgeRequests(mix Mix, trace []*Request) []*Request {
	var more []*Request
	for _, q := range trace {
		if q.Account != LargestAccount || q.Arrival < mix.Length/2 {
			continue
		}
		for range int(mix.SurgeFactor) - 1 {
			x := *q
			x.Arrival = mix.Length/2 + time.Duration(g.random.Float64()*float64(mix.Length/2))
			more = append(more, &x)
		}
	}
	return more
}

type generator struct {
	random         *rand.Rand
	next           uint64
	cachedPrefixes map[uint64]int64 // by Request.Prefix, tokens prefilled for earlier requests
	timeoutFactor  float64
}

func (g *generator) request() *Request {
	q := &Request{}
	account := g.weightedIndex(accountShares[:])
	q.Account = identifier.Account("account" + string(rune('0'+account)))
	q.Class = Class(g.weightedIndex([]float64{profiles[Short].share, profiles[Medium].share, profiles[Long].share}))
	s := profiles[q.Class]
	q.Prompt = int64(g.logUniform(s.minTokens, s.maxTokens))
	q.Answer = int64(g.logUniform(s.answerTokens[0], s.answerTokens[1]))
	q.Timeout = time.Duration(g.timeoutFactor * float64(s.timeout))
	g.next++
	q.Prefix = hash(1, g.next)
	if g.random.Float64() < sharedPrefixShare {
		g.sharePrefix(q, account, s)
	}
	q.Chain = hinter.NewChain(q.Prompt, func(block int64) uint64 {
		if block*hinter.BlockTokens <= q.Shared {
			return hash(q.Prefix, uint64(block))
		}
		return hash(hash(2, g.next), uint64(block))
	})
	return q
}

// sharePrefix makes the prompt start with one of its account's shared prefixes.
func (g *generator) sharePrefix(q *Request, account int, s classProfile) {
	weights := make([]float64, s.prefixes)
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	member := g.weightedIndex(weights)
	q.Prefix = hash(3, uint64(account)<<16|uint64(q.Class)<<8|uint64(member))
	random := rand.New(rand.NewPCG(q.Prefix, 0))
	length := s.prefixTokens[0] * math.Pow(s.prefixTokens[1]/s.prefixTokens[0], random.Float64())
	q.Shared = int64(min(length, 0.9*float64(q.Prompt)))
	q.Shared -= q.Shared % hinter.BlockTokens
}

// logUniform draws from the log-uniform distribution between low and high.
func (g *generator) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, g.random.Float64())
}

// weightedIndex draws an index with probability proportional to its weight.
func (g *generator) weightedIndex(weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	x := g.random.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// hash combines two numbers with the finalizer of SplitMix64.
func hash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
