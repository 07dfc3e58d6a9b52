package experimenter

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"bamboohill/core/hinter"
	"bamboohill/core/limiter"
	"bamboohill/core/router"
	"bamboohill/wire"
)

// Parameters of a simulated engine.
const (
	prefillRate          = 50_000.0  // prefill tokens per second
	chunkTokens          = 2_048     // most prefill tokens per step
	decodeStepSeconds    = 0.004     // duration of a step that decodes
	stepSecondsPerStream = 0.000_1   // added to it for each decoding request
	memoryTokens         = 1_200_000 // tokens of KV cache
	maxRequests          = 64        // concurrent requests
	soloDecodeRate       = 250.0     // tokens per second of a request that decodes alone
	decodeRateDecay      = 0.98      // weight of the previous decode rate in the moving average over steps
)

// job is a request on an engine.
type job struct {
	*Request
	choice    router.Choice
	entry     *entry
	engine    *engine
	outcome   *outcome
	release   limiter.Release
	priority  int64 // smaller runs first
	remaining int64 // prefill tokens left
	prefilled int64 // prefill tokens processed
	emitted   int64 // answer tokens generated
	started   bool
	ended     bool
}

// engine is a simulated model engine with its admission control.
type engine struct {
	id             string
	waiting        []*job                   // for prefill, in order of priority
	running        []*job                   // decoding
	reserved       int64                    // KV-cache tokens reserved for jobs
	cache          map[uint64]*list.Element // by prefix
	lru            *list.List               // of *cacheEntry, the most recently used first
	hashes         map[uint64]bool          // of the cached prefixes, see hinter.PrefixHash
	cacheTokens    int64                    // tokens in the prefix cache
	addedHashes    []uint64                 // since the last report
	droppedHashes  []uint64                 // since the last report
	stepping       bool
	decodeRate     float64     // tokens per second per request, moving average
	wastedPrefill  int64       // prefill tokens of jobs that missed their deadline
	prefilled      int64       // prefill tokens of all jobs
	sample         wire.Report // load when last sampled
	serial         uint64
	eventsReported uint64 // cache events reported so far
}

// cacheEntry is a prompt prefix in the prefix cache.
type cacheEntry struct {
	prefix uint64
	tokens int64
	chain  hinter.Chain
}

func newEngine(i int) *engine {
	return &engine{id: fmt.Sprintf("engine%02d", i), cache: map[uint64]*list.Element{}, lru: list.New(), hashes: map[uint64]bool{}, decodeRate: soloDecodeRate}
}

// admit accepts a job, or returns false if the request limit or memory is used up.
func (e *engine) admit(j *job, now time.Duration) bool {
	need := j.Prompt + j.Answer
	if len(e.waiting)+len(e.running) >= maxRequests || e.reserved+need > memoryTokens {
		return false
	}
	e.reserved += need
	e.evict()
	j.remaining = j.Prompt
	j.priority = now.Milliseconds() + int64(j.choice.Priority)
	i, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, j)
	return true
}

// release removes a job and frees its memory.
func (e *engine) release(j *job) {
	e.waiting = remove(e.waiting, j)
	e.running = remove(e.running, j)
	e.reserved -= j.Prompt + j.Answer
	j.ended = true
}

func remove(jobs []*job, j *job) []*job {
	if i := slices.Index(jobs, j); i >= 0 {
		return slices.Delete(jobs, i, i+1)
	}
	return jobs
}

// step is the planned work of one engine step.
type step struct {
	jobs     []*job // prefilling
	tokens   []int64
	decoding []*job
	duration time.Duration
}

// planStep returns the next step, or nil if the engine has no work.
func (e *engine) planStep() *step {
	if len(e.waiting)+len(e.running) == 0 {
		return nil
	}
	s := &step{decoding: slices.Clone(e.running)}
	budget := int64(chunkTokens)
	for _, j := range e.waiting {
		if budget == 0 {
			break
		}
		if !j.started {
			j.started = true
			j.outcome.cachedTokens = e.lookup(j)
			j.remaining -= j.outcome.cachedTokens
		}
		n := min(budget, j.remaining)
		budget -= n
		s.jobs = append(s.jobs, j)
		s.tokens = append(s.tokens, n)
	}
	seconds := float64(chunkTokens-budget) / prefillRate
	if len(s.decoding) > 0 {
		seconds += decodeStepSeconds + stepSecondsPerStream*float64(len(s.decoding))
	}
	s.duration = time.Duration(seconds * float64(time.Second))
	if len(s.decoding) > 0 {
		e.decodeRate = decodeRateDecay*e.decodeRate + (1-decodeRateDecay)/seconds
	}
	return s
}

// finishStep applies the results of a step.
func (e *engine) finishStep(s *step) {
	for i, j := range s.jobs {
		e.prefilled += s.tokens[i]
		if j.ended {
			e.wastedPrefill += s.tokens[i]
			continue
		}
		j.remaining -= s.tokens[i]
		j.prefilled += s.tokens[i]
		if j.remaining == 0 {
			e.storePrompt(j)
			e.waiting = remove(e.waiting, j)
			e.running = append(e.running, j)
			j.emitToken()
		}
	}
	for _, j := range s.decoding {
		if !j.ended {
			j.emitToken()
		}
	}
	for _, j := range slices.Clone(e.running) {
		if j.emitted >= j.Answer {
			e.release(j)
			j.entry.recordLastToken(j)
		}
	}
}

func (j *job) emitToken() {
	j.emitted++
	if j.emitted == 1 {
		j.entry.recordFirstToken(j)
	}
}

// cachedTokens returns how many prompt tokens of a request are cached.
func (e *engine) cachedTokens(q *Request) int64 {
	if x, found := e.cache[q.Prefix]; found {
		return min(x.Value.(*cacheEntry).tokens, q.Shared)
	}
	return 0
}

func (e *engine) lookup(j *job) int64 {
	if x, found := e.cache[j.Prefix]; found {
		e.lru.MoveToFront(x)
	}
	return e.cachedTokens(j.Request)
}

// storePrompt caches a job's prompt: the shared part under its prefix, the rest
// under a key unique to the request.
func (e *engine) storePrompt(j *job) {
	e.store(hash(j.Prefix, uint64(j.Arrival)), j.Prompt-j.Shared, nil)
	var chain hinter.Chain
	for _, m := range j.Chain {
		if m.Tokens <= j.Shared {
			chain = append(chain, m)
		}
	}
	if j.Shared > 0 {
		e.store(j.Prefix, j.Shared, chain)
	}
	e.evict()
}

func (e *engine) store(prefix uint64, tokens int64, chain hinter.Chain) {
	x, found := e.cache[prefix]
	if !found {
		x = e.lru.PushFront(&cacheEntry{prefix: prefix})
		e.cache[prefix] = x
	}
	e.lru.MoveToFront(x)
	c := x.Value.(*cacheEntry)
	if tokens <= c.tokens {
		return
	}
	for _, m := range chain {
		if m.Tokens > c.tokens {
			e.addedHashes = append(e.addedHashes, m.Hash)
			e.hashes[m.Hash] = true
		}
	}
	e.cacheTokens += tokens - c.tokens
	c.tokens, c.chain = tokens, chain
}

// evict removes least recently used prefixes until the cache fits into the memory that jobs leave free.
func (e *engine) evict() {
	for e.lru.Len() > 0 && e.cacheTokens > memoryTokens-e.reserved {
		c := e.lru.Remove(e.lru.Back()).(*cacheEntry)
		delete(e.cache, c.prefix)
		e.cacheTokens -= c.tokens
		for _, m := range c.chain {
			e.droppedHashes = append(e.droppedHashes, m.Hash)
			delete(e.hashes, m.Hash)
		}
	}
}

// sampleLoad updates the queued tokens that reports carry.
func (e *engine) sampleLoad() {
	var queued int64
	var byClass [len(Classes)]int64
	for _, j := range e.waiting {
		queued += j.remaining
		byClass[j.Class] += j.remaining
	}
	e.sample.Queued, e.sample.Long, e.sample.Brief = queued, byClass[Long], byClass[Short]
}

// report returns a report with the latest sample and without cache events.
func (e *engine) report() *wire.Report {
	e.serial++
	return &wire.Report{
		Server: e.id, Boot: 1, Serial: e.serial, State: wire.State_STATE_OPEN, Kind: wire.Kind_KIND_MODEL, Offers: offers,
		Memory: memoryTokens, Free: memoryTokens - e.reserved, Running: int32(len(e.waiting) + len(e.running)), Limit: maxRequests,
		Queued: e.sample.Queued, Long: e.sample.Long, Brief: e.sample.Brief, Prefill: prefillRate, Decode: e.decodeRate,
	}
}

const model = "base"

var offers = []*wire.Offer{{Model: model, Version: "1"}}
