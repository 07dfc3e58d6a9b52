package modelserver

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/texter"
	"bamboohill/standin/injector"
)

// job is one piece of work in the engine.
type job struct {
	generator.Job
	seed        uint64
	chain       []uint64
	held        int64 // tokens of memory
	prompt      int64 // prompt tokens
	cached      int64
	prefillLeft float64 // prefill tokens to do
	decodeDue   float64 // decode tokens owed
	next        int64   // next position
	arrived     int64   // order of arrival
	crash       bool
	decoding    bool // prefill is done
	chunks      chan generator.Chunk
	done        bool
}

// export is a stored cache.
type export struct {
	tokens int64 // of memory, freed when it is dropped or imported
	prompt int64 // tokens that need no prefill
}

// Engine is a model engine.
type Engine struct {
	Faults *injector.Faults

	config      Config
	mu          sync.Mutex
	boot        uint64
	restartsAt  time.Time // crashed until then
	warm        bool
	finished    int // finished jobs since the cold start
	jobs        map[string]*job
	exports     map[string]export
	cache       *cache
	models      []generator.Model
	role        string
	fence       uint64
	arrived     int64
	crashes     int
	peakLoad    float64 // most jobs offered against what it bore
	orders      int
	staleOrders int // orders
	heldOrders  int // orders held back
	swapped     int64
	stop        chan struct{}
	stopped     chan struct{}
}

// New starts an engine.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		Faults:  injector.New(),
		config:  config,
		boot:    uint64(time.Now().UnixMicro()),
		warm:    config.Warm,
		jobs:    map[string]*job{},
		exports: map[string]export{},
		cache:   newCache(),
		models:  config.Models,
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	e.Faults.OnSet(Crash, func(v int) {
		if v != 0 {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.crash()
		}
	})
	e.Faults.OnSet(Cold, func(v int) {
		if v != 0 {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.makeCold()
		}
	})
	go e.run()
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stop)
	<-e.stopped
}

func (e *Engine) makeCold() {
	e.warm = false
	e.finished = 0
	e.cache.shrink(0)
}

// crash drops everything, as a process that dies and starts again.
func (e *Engine) crash() {
	for _, j := range e.jobs {
		e.abort(j)
	}
	e.exports = map[string]export{}
	e.cache = newCache()
	e.boot++
	e.crashes++
	e.fence = 0
	e.models = e.config.Models
	e.makeCold()
	e.restartsAt = time.Now().Add(e.config.Restart)
}

// abort ends a job's stream without an end.
func (e *Engine) abort(j *job) {
	if j.done {
		return
	}
	j.done = true
	close(j.chunks)
	delete(e.jobs, j.ID)
}

func (e *Engine) capacity() int {
	if e.warm {
		return e.config.WarmCapacity
	}
	return e.config.ColdCapacity
}

func (e *Engine) used() int64 {
	var n int64
	for _, j := range e.jobs {
		n += j.held
	}
	for _, x := range e.exports {
		n += x.tokens
	}
	return n
}

func (e *Engine) isRestarting() bool { return time.Now().Before(e.restartsAt) }

var (
	errRestarting   = &generator.StatusError{Code: http.StatusBadGateway, Text: "away"}
	errMemory       = &generator.StatusError{Code: http.StatusInsufficientStorage, Text: "no memory"}
	errModel        = &generator.StatusError{Code: http.StatusNotFound, Text: "model not loaded"}
	errDuplicateJob = &generator.StatusError{Code: http.StatusConflict, Text: "job exists"}
	errStaleFence   = &generator.StatusError{Code: http.StatusPreconditionFailed, Text: "old number"}
	errOverload     = errors.New("modelserver: crashed under load")
)

// start takes a job, or crashes if it is more than the engine bears.
func (e *Engine) start(spec generator.Job, prompt []byte) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRestarting() {
		return nil, errRestarting
	}
	if !e.serves(spec) {
		return nil, errModel
	}
	if _, found := e.jobs[spec.ID]; found {
		return nil, errDuplicateJob
	}
	j := e.newJob(spec, prompt)
	if e.used()+j.held > e.config.Memory {
		return nil, errMemory
	}
	e.jobs[j.ID] = j
	e.peakLoad = max(e.peakLoad, float64(len(e.jobs))/float64(e.capacity()))
	if len(e.jobs) > e.capacity() {
		e.crash()
		return nil, errOverload
	}
	e.cache.shrink(e.config.Memory - e.used())
	return j, nil
}

func (e *Engine) newJob(spec generator.Job, prompt []byte) *job {
	e.arrived++
	j := &job{
		Job:     spec,
		seed:    texter.Seed(prompt),
		chain:   PrefixHashes(prompt),
		prompt:  (int64(len(prompt)) + TokenBytes - 1) / TokenBytes,
		next:    spec.Position,
		arrived: e.arrived,
		crash:   bytes.Contains(prompt, []byte(CrashMarker)),
		chunks:  make(chan generator.Chunk, spec.Answer+2),
	}
	spans := max(1, int64(spec.Spans))
	j.held = j.prompt/spans + spec.Answer
	j.cached = e.cache.hit(j.chain)
	x, imported := e.exports[spec.Import]
	if imported {
		j.cached = max(j.cached, x.prompt)
		delete(e.exports, spec.Import)
	}
	j.prefillLeft = float64(max(0, j.prompt-j.cached) / spans)
	return j
}

func (e *Engine) serves(spec generator.Job) bool {
	return slices.ContainsFunc(e.models, func(m generator.Model) bool {
		if m.Name != spec.Model || (spec.Version != "" && m.Version != spec.Version) {
			return false
		}
		return spec.Adapter == "" || slices.Contains(m.Adapters, spec.Adapter)
	})
}

func (e *Engine) run() {
	defer close(e.stopped)
	t := time.NewTicker(e.config.Step)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-e.stop:
			return
		case now := <-t.C:
			e.advance(now.Sub(last).Seconds())
			last = now
		}
	}
}

// advance does the work of one step of the given length in seconds.
func (e *Engine) advance(seconds float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRestarting() || e.Faults.Get(injector.Freeze) != 0 {
		return
	}
	if creep := e.Faults.Get(Slowdown); creep > 1 {
		seconds /= float64(creep)
	}
	e.prefill(e.config.Prefill * seconds)
	for _, j := range e.jobs {
		if j.decoding {
			e.decode(j, e.config.Decode*seconds)
		}
	}
}

func (e *Engine) prefill(budget float64) {
	for _, j := range e.prefilling() {
		n := min(budget, j.prefillLeft)
		j.prefillLeft -= n
		budget -= n
		if j.prefillLeft > 0 {
			return
		}
		e.cache.add(j.chain, e.config.Memory-e.used())
		if j.crash {
			e.crash()
			return
		}
		j.decodeDue = 1
		j.decoding = true
	}
}

// prefilling returns the jobs with prefill to do, in the order they are served.
func (e *Engine) prefilling() []*job {
	var jobs []*job
	for _, j := range e.jobs {
		if !j.decoding {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrived, b.arrived))
	})
	return jobs
}

func (e *Engine) decode(j *job, tokens float64) {
	if j.Span > 0 {
		return
	}
	j.decodeDue += tokens
	var texts []string
	position := j.next
	for j.decodeDue >= 1 && j.next < j.Answer {
		texts = append(texts, texter.Token(j.seed, j.next))
		j.next++
		j.decodeDue--
		if n := e.Faults.Get(Truncate); n > 0 && j.next-j.Position >= int64(n) {
			e.emit(j, generator.Chunk{Position: position, Texts: texts})
			e.abort(j)
			return
		}
	}
	if len(texts) > 0 {
		e.emit(j, generator.Chunk{Position: position, Texts: texts})
	}
	if j.next >= j.Answer {
		e.finish(j)
	}
}

// emit sends one chunk on a job's stream. With the fault swap on, it goes out
// on the stream of another job that decodes, if there is one.
func (e *Engine) emit(j *job, c generator.Chunk) {
	c.Job = j.ID
	if e.Faults.Get(SwapStreams) == 0 {
		j.chunks <- c
		return
	}
	to := j
	for _, other := range e.jobs {
		if other != j && other.decoding && (to == j || other.ID < to.ID) {
			to = other
		}
	}
	select {
	case to.chunks <- c:
		if to != j {
			e.swapped++
		}
	default: // its reader is behind
	}
}

func (e *Engine) finish(j *job) {
	e.emit(j, generator.Chunk{End: true, Position: j.next, Prompt: j.prompt, Cached: j.cached, Finish: "length"})
	e.abort(j)
	e.finished++
	if e.finished >= e.config.Warmup {
		e.warm = true
	}
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, found := e.jobs[id]; found {
		e.abort(j)
	}
}

func (e *Engine) export(id string) (generator.Cache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, found := e.jobs[id]
	if !found {
		return generator.Cache{}, &generator.StatusError{Code: http.StatusNotFound, Text: "no job " + id}
	}
	done := j.prompt - int64(j.prefillLeft)
	handle := fmt.Sprintf("%s-%d", id, e.boot)
	e.exports[handle] = export{tokens: done, prompt: done}
	e.emit(j, generator.Chunk{Position: j.next, Moved: true})
	e.abort(j)
	return generator.Cache{Handle: handle, Tokens: done}, nil
}
