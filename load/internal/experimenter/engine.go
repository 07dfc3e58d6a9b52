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

// Shape of a fake engine.
const (
	speed       = 50_000.0  // prefill tokens a second
	chunkTokens = 2_048     // prefill tokens of one step
	stepBase    = 0.004     // seconds of a step that decodes
	stepStream  = 0.000_1   // seconds more for each stream
	memory      = 1_200_000 // tokens of KV cache
	limit       = 64        // requests at once
	decode      = 250.0     // tokens a second of a stream alone
	decodeKeep  = 0.98      // of the measured decode speed at each step
)

// job is a request on an engine.
type job struct {
	*Request
	choice   router.Choice
	entry    *entry
	engine   *engine
	tally    *tally
	release  limiter.Release
	priority int64 // smaller runs first
	left     int64 // prefill tokens to do
	done     int64 // prefill tokens done
	emitted  int64
	started  bool
	over     bool
}

// engine is a fake model engine with its gate.
type engine struct {
	id        string
	waiting   []*job // in order of priority
	running   []*job // in decode
	held      int64  // tokens of memory of jobs
	cache     map[uint64]*list.Element
	order     *list.List // of *cached, the most recently used first
	marks     map[uint64]bool
	cached    int64 // tokens
	added     []uint64
	dropped   []uint64
	stepping  bool
	pace      float64 // tokens a second of one stream, measured
	wasted    int64
	prefilled int64
	sample    wire.Report // load at the last look
	serial    uint64
	noted     uint64 // cache events reported
}

// cached is the start of a prompt in the prefix cache.
type cached struct {
	prefix uint64
	tokens int64
	chain  hinter.Chain
}

func newEngine(i int) *engine {
	return &engine{id: fmt.Sprintf("engine%02d", i), cache: map[uint64]*list.Element{}, order: list.New(), marks: map[uint64]bool{}, pace: decode}
}

// enter is the gate: it takes a job or reports that it does not.
func (e *engine) enter(j *job, now time.Duration) bool {
	need := j.Prompt + j.Answer
	if len(e.waiting)+len(e.running) >= limit || e.held+need > memory {
		return false
	}
	e.held += need
	e.shrink()
	j.left = j.Prompt
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

// leave frees a job's memory.
func (e *engine) leave(j *job) {
	e.waiting = remove(e.waiting, j)
	e.running = remove(e.running, j)
	e.held -= j.Prompt + j.Answer
	j.over = true
}

func remove(jobs []*job, j *job) []*job {
	if i := slices.Index(jobs, j); i >= 0 {
		return slices.Delete(jobs, i, i+1)
	}
	return jobs
}

// step is the work of one step that has begun.
type step struct {
	jobs    []*job // in prefill
	tokens  []int64
	streams []*job
	length  time.Duration
}

// begin plans the next step, or returns nil if there is nothing to do.
func (e *engine) begin() *step {
	if len(e.waiting)+len(e.running) == 0 {
		return nil
	}
	s := &step{streams: slices.Clone(e.running)}
	budget := int64(chunkTokens)
	for _, j := range e.waiting {
		if budget == 0 {
			break
		}
		if !j.started {
			j.started = true
			j.tally.hit = e.find(j)
			j.left -= j.tally.hit
		}
		n := min(budget, j.left)
		budget -= n
		s.jobs = append(s.jobs, j)
		s.tokens = append(s.tokens, n)
	}
	seconds := float64(chunkTokens-budget) / speed
	if len(s.streams) > 0 {
		seconds += stepBase + stepStream*float64(len(s.streams))
	}
	s.length = time.Duration(seconds * float64(time.Second))
	if len(s.streams) > 0 {
		e.pace = decodeKeep*e.pace + (1-decodeKeep)/seconds
	}
	return s
}

// end does the work of a step.
func (e *engine) end(s *step) {
	for i, j := range s.jobs {
		e.prefilled += s.tokens[i]
		if j.over {
			e.wasted += s.tokens[i]
			continue
		}
		j.left -= s.tokens[i]
		j.done += s.tokens[i]
		if j.left == 0 {
			e.keep(j)
			e.waiting = remove(e.waiting, j)
			e.running = append(e.running, j)
			j.emit()
		}
	}
	for _, j := range s.streams {
		if !j.over {
			j.emit()
		}
	}
	for _, j := range slices.Clone(e.running) {
		if j.emitted >= j.Answer {
			e.leave(j)
			j.entry.finished(j)
		}
	}
}

func (j *job) emit() {
	j.emitted++
	if j.emitted == 1 {
		j.entry.begun(j)
	}
}

// holds returns how many of a request's tokens are cached.
func (e *engine) holds(q *Request) int64 {
	if x, found := e.cache[q.Prefix]; found {
		return min(x.Value.(*cached).tokens, q.Shared)
	}
	return 0
}

func (e *engine) find(j *job) int64 {
	if x, found := e.cache[j.Prefix]; found {
		e.order.MoveToFront(x)
	}
	return e.holds(j.Request)
}

// keep caches a job's prompt: its shared start under its prefix, the rest
// under a name of its own.
func (e *engine) keep(j *job) {
	e.put(hash(j.Prefix, uint64(j.At)), j.Prompt-j.Shared, nil)
	var chain hinter.Chain
	for _, m := range j.Chain {
		if m.Tokens <= j.Shared {
			chain = append(chain, m)
		}
	}
	if j.Shared > 0 {
		e.put(j.Prefix, j.Shared, chain)
	}
	e.shrink()
}

func (e *engine) put(prefix uint64, tokens int64, chain hinter.Chain) {
	x, found := e.cache[prefix]
	if !found {
		x = e.order.PushFront(&cached{prefix: prefix})
		e.cache[prefix] = x
	}
	e.order.MoveToFront(x)
	c := x.Value.(*cached)
	if tokens <= c.tokens {
		return
	}
	for _, m := range chain {
		if m.Tokens > c.tokens {
			e.added = append(e.added, m.Hash)
			e.marks[m.Hash] = true
		}
	}
	e.cached += tokens - c.tokens
	c.tokens, c.chain = tokens, chain
}

// shrink evicts until the cache fits beside the jobs.
func (e *engine) shrink() {
	for e.order.Len() > 0 && e.cached > memory-e.held {
		c := e.order.Remove(e.order.Back()).(*cached)
		delete(e.cache, c.prefix)
		e.cached -= c.tokens
		for _, m := range c.chain {
			e.dropped = append(e.dropped, m.Hash)
			delete(e.marks, m.Hash)
		}
	}
}

// look takes the sample that reports carry.
func (e *engine) look() {
	var queued int64
	var byClass [len(Classes)]int64
	for _, j := range e.waiting {
		queued += j.left
		byClass[j.Class] += j.left
	}
	e.sample.Queued, e.sample.Long, e.sample.Brief = queued, byClass[Long], byClass[Short]
}

// report returns the newest report without cache events.
func (e *engine) report() *wire.Report {
	e.serial++
	return &wire.Report{
		Server: e.id, Boot: 1, Serial: e.serial, State: wire.State_STATE_OPEN, Kind: wire.Kind_KIND_MODEL, Offers: offers,
		Memory: memory, Free: memory - e.held, Running: int32(len(e.waiting) + len(e.running)), Limit: limit,
		Queued: e.sample.Queued, Long: e.sample.Long, Brief: e.sample.Brief, Prefill: speed, Decode: e.pace,
	}
}

const model = "base"

var offers = []*wire.Offer{{Model: model, Version: "1"}}
