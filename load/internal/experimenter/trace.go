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

// Class is a length class of prompts.
type Class int

// Length classes: up to 4,000 tokens, between, and from 100,000 on.
const (
	Short Class = iota
	Middle
	Long
)

// Classes holds the length classes.
var Classes = [...]Class{Short, Middle, Long}

// String returns the class's name in results.
func (c Class) String() string { return [...]string{"short", "middle", "long"}[c] }

// ClassOf returns the class of a prompt.
func ClassOf(prompt int64) Class {
	switch {
	case prompt <= router.ShortTokens:
		return Short
	case prompt >= router.LongTokens:
		return Long
	}
	return Middle
}

// Request is one request of a trace.
type Request struct {
	At      time.Duration // of arrival
	Account identifier.Account
	Prompt  int64 // tokens
	Shared  int64 // tokens of it that stand in other prompts as well
	Prefix  uint64
	Answer  int64
	Timeout time.Duration
	Chain   hinter.Chain
	Class   Class
}

// Mix describes a trace. Load 1 means that the work of the trace, each shared
// prefix prefilled once, takes every engine all the time.
type Mix struct {
	Seed     uint64
	Engines  int
	Load     float64
	Length   time.Duration
	Patience float64 // of callers: their timeouts are multiplied by it, 1 if zero
	NoLongs  bool    // leave out the prompts of class Long; the others stay as they are
	Surge    float64 // the first account sends so many times more from half of Length on
}

// shape is how prompts of one class look.
type shape struct {
	part    float64 // of the requests
	least   float64 // tokens
	most    float64
	answer  [2]float64 // tokens
	timeout time.Duration
	pool    int        // shared prefixes of each account
	prefix  [2]float64 // tokens of a shared prefix
}

// shapes is the mix: prompts from 1 k to 1 M tokens, one in fifty over 100 k.
var shapes = [...]shape{
	Short:  {part: 0.70, least: 1_000, most: 4_000, answer: [2]float64{32, 256}, timeout: 20 * time.Second, pool: 4, prefix: [2]float64{512, 2_048}},
	Middle: {part: 0.28, least: 4_000, most: 100_000, answer: [2]float64{64, 512}, timeout: 45 * time.Second, pool: 8, prefix: [2]float64{2_048, 50_000}},
	Long:   {part: 0.02, least: 100_000, most: 1_000_000, answer: [2]float64{128, 512}, timeout: 2 * time.Minute, pool: 3, prefix: [2]float64{60_000, 600_000}},
}

// sharing is the part of the requests whose prompt starts with a shared prefix.
const sharing = 0.6

// accounts is the number of client accounts; each has the part of the
// requests that parts says.
var accounts = [...]float64{0.30, 0.20, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

// Large is the largest account.
const Large = identifier.Account("account0")

// Work returns the time that a request takes an engine for itself, if so many
// tokens of its prompt are cached.
func (q *Request) Work(cached int64) float64 {
	return float64(q.Prompt-cached)/speed*(1+stepBase/(chunkTokens/speed)) + float64(q.Answer)*stepStream
}

// Generate returns a trace in order of arrival.
func Generate(mix Mix) []*Request {
	g := &generator{random: rand.New(rand.NewPCG(mix.Seed, 1)), seen: map[uint64]int64{}, patience: mix.Patience}
	if g.patience <= 0 {
		g.patience = 1
	}
	total := mix.Load * float64(mix.Engines) * mix.Length.Seconds()
	var trace []*Request
	for work := 0.0; work < total; {
		q := g.request()
		cached := min(g.seen[q.Prefix], q.Shared)
		g.seen[q.Prefix] = max(g.seen[q.Prefix], q.Shared)
		work += q.Work(cached)
		q.At = time.Duration(g.random.Float64() * float64(mix.Length))
		trace = append(trace, q)
	}
	trace = append(trace, g.surge(mix, trace)...)
	if mix.NoLongs {
		trace = slices.DeleteFunc(trace, func(q *Request) bool { return q.Class == Long })
	}
	slices.SortFunc(trace, func(a, b *Request) int { return int(a.At - b.At) })
	return trace
}

// surge returns the further requests of the large account.
func (g *generator) surge(mix Mix, trace []*Request) []*Request {
	var more []*Request
	for _, q := range trace {
		if q.Account != Large || q.At < mix.Length/2 {
			continue
		}
		for range int(mix.Surge) - 1 {
			x := *q
			x.At = mix.Length/2 + time.Duration(g.random.Float64()*float64(mix.Length/2))
			more = append(more, &x)
		}
	}
	return more
}

type generator struct {
	random   *rand.Rand
	next     uint64
	seen     map[uint64]int64
	patience float64
}

func (g *generator) request() *Request {
	q := &Request{}
	account := g.pick(accounts[:])
	q.Account = identifier.Account("account" + string(rune('0'+account)))
	q.Class = Class(g.pick([]float64{shapes[Short].part, shapes[Middle].part, shapes[Long].part}))
	s := shapes[q.Class]
	q.Prompt = int64(g.span(s.least, s.most))
	q.Answer = int64(g.span(s.answer[0], s.answer[1]))
	q.Timeout = time.Duration(g.patience * float64(s.timeout))
	g.next++
	q.Prefix = hash(1, g.next)
	if g.random.Float64() < sharing {
		g.share(q, account, s)
	}
	q.Chain = hinter.NewChain(q.Prompt, func(block int64) uint64 {
		if block*hinter.BlockTokens <= q.Shared {
			return hash(q.Prefix, uint64(block))
		}
		return hash(hash(2, g.next), uint64(block))
	})
	return q
}

// share starts the prompt with one of its account's prefixes.
func (g *generator) share(q *Request, account int, s shape) {
	weights := make([]float64, s.pool)
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	member := g.pick(weights)
	q.Prefix = hash(3, uint64(account)<<16|uint64(q.Class)<<8|uint64(member))
	own := rand.New(rand.NewPCG(q.Prefix, 0))
	length := s.prefix[0] * math.Pow(s.prefix[1]/s.prefix[0], own.Float64())
	q.Shared = int64(min(length, 0.9*float64(q.Prompt)))
	q.Shared -= q.Shared % hinter.BlockTokens
}

// span draws from a log-uniform distribution.
func (g *generator) span(least, most float64) float64 {
	return least * math.Pow(most/least, g.random.Float64())
}

// pick draws an index by weight.
func (g *generator) pick(weights []float64) int {
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

// hash mixes two numbers (the finaliser of splitmix64).
func hash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
