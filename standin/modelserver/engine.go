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
	"bamboohill/core/synthesizer"
	"bamboohill/standin/injector"
)

// job is a job that the engine runs.
type job struct {
	generator.Job
	seed         uint64
	hashes       []uint64 // of its prompt blocks
	memory       int64    // reserved, in tokens
	promptTokens int64
	cachedTokens int64
	prefillLeft  float64 // prompt tokens without prefill
	decodeDue    float64 // tokens that the decode rate allows but are not emitted
	nextPosition int64   // of the next token in the answer
	arrival      int64   // serial number among the engine's jobs
	crashes      bool    // the prompt contains CrashMarker
	decoding     bool    // prefill is complete
	chunks       chan generator.Chunk
	done         bool
}

// export is the stored KV cache of a job.
type export struct {
	memory    int64 // tokens, freed when the export is dropped or imported
	prefilled int64 // prompt tokens that need no prefill
}

// Engine is a model engine.
type Engine struct {
	Faults *injector.Faults

	config        Config
	mu            sync.Mutex
	boot          uint64    // boot number, which grows with each crash
	restartsAt    time.Time // unavailable until then after a crash
	warm          bool
	finished      int // jobs finished since the engine was cold
	jobs          map[string]*job
	exports       map[string]export
	cache         *cache
	models        []generator.Model
	role          string
	fence         uint64 // highest fencing token received since the last crash
	arrivals      int64
	crashes       int
	peakLoad      float64 // highest ratio of concurrent jobs to the capacity
	appliedOrders int
	staleOrders   int // refused for their fencing token
	heldOrders    int // held by the fault late now
	swappedChunks int64
	stop          chan struct{}
	stopped       chan struct{}
}

// New starts an engine. The caller must close it.
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

// makeCold resets the warm-up and empties the prefix cache. Running jobs go on.
func (e *Engine) makeCold() {
	e.warm = false
	e.finished = 0
	e.cache.shrink(0)
}

// crash drops all state, like a process that dies and restarts, and makes the
// engine unavailable for Config.Restart.
func (e *Engine) crash() {
	for _, j := range e.jobs {
		e.remove(j)
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

// remove removes a job and closes its stream. A reader that has received no end
// chunk by then sees a broken stream.
func (e *Engine) remove(j *job) {
	if j.done {
		return
	}
	j.done = true
	close(j.chunks)
	delete(e.jobs, j.ID)
}

// capacity returns the number of concurrent jobs above which the engine crashes.
func (e *Engine) capacity() int {
	if e.warm {
		return e.config.WarmCapacity
	}
	return e.config.ColdCapacity
}

// used returns the memory of jobs and exports in tokens, without the prefix
// cache.
func (e *Engine) used() int64 {
	var n int64
	for _, j := range e.jobs {
		n += j.memory
	}
	for _, x := range e.exports {
		n += x.memory
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
	errOverload     = errors.New("modelserver: the job exceeded the capacity and crashed the engine")
)

// start starts a job. It returns a *generator.StatusError if the engine refuses
// the job, or errOverload if the job exceeds the engine's capacity and crashes
// it.
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
	if e.used()+j.memory > e.config.Memory {
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

// newJob prepares a job: it looks the prompt up in the prefix cache and consumes
// the export that the job imports. It does not check the engine's memory.
func (e *Engine) newJob(spec generator.Job, prompt []byte) *job {
	e.arrivals++
	j := &job{
		Job:          spec,
		seed:         synthesizer.Seed(prompt),
		hashes:       PrefixHashes(prompt),
		promptTokens: (int64(len(prompt)) + TokenBytes - 1) / TokenBytes,
		nextPosition: spec.Position,
		arrival:      e.arrivals,
		crashes:      bytes.Contains(prompt, []byte(CrashMarker)),
		chunks:       make(chan generator.Chunk, spec.MaxTokens+2),
	}
	spans := max(1, int64(spec.Parts))
	j.memory = j.promptTokens/spans + spec.MaxTokens
	j.cachedTokens = e.cache.hit(j.hashes)
	x, imported := e.exports[spec.Import]
	if imported {
		j.cachedTokens = max(j.cachedTokens, x.prefilled)
		delete(e.exports, spec.Import)
	}
	j.prefillLeft = float64(max(0, j.promptTokens-j.cachedTokens) / spans)
	return j
}

// serves reports whether the model and the adapter of a job are loaded.
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

// advance performs one scheduler step, which covers the given time in seconds.
func (e *Engine) advance(seconds float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRestarting() || e.Faults.Get(injector.Freeze) != 0 {
		return
	}
	if slowdown := e.Faults.Get(Slowdown); slowdown > 1 {
		seconds /= float64(slowdown)
	}
	e.prefill(e.config.Prefill * seconds)
	for _, j := range e.jobs {
		if j.decoding {
			e.decode(j, e.config.Decode*seconds)
		}
	}
}

// prefill spends a budget of tokens on the prompts of waiting jobs.
func (e *Engine) prefill(budget float64) {
	for _, j := range e.prefilling() {
		n := min(budget, j.prefillLeft)
		j.prefillLeft -= n
		budget -= n
		if j.prefillLeft > 0 {
			return
		}
		e.cache.add(j.hashes, e.config.Memory-e.used())
		if j.crashes {
			e.crash()
			return
		}
		j.decodeDue = 1
		j.decoding = true
	}
}

// prefilling returns the jobs whose prefill is incomplete, by priority and then
// by arrival.
func (e *Engine) prefilling() []*job {
	var jobs []*job
	for _, j := range e.jobs {
		if !j.decoding {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	return jobs
}

// decode adds tokens to the decode budget of a job and emits as many whole tokens
// as the budget allows. Of a job that spans several engines, only part 0 decodes.
func (e *Engine) decode(j *job, tokens float64) {
	if j.Part > 0 {
		return
	}
	j.decodeDue += tokens
	var texts []string
	position := j.nextPosition
	for j.decodeDue >= 1 && j.nextPosition < j.MaxTokens {
		texts = append(texts, synthesizer.Token(j.seed, j.nextPosition))
		j.nextPosition++
		j.decodeDue--
		if n := e.Faults.Get(Truncate); n > 0 && j.nextPosition-j.Position >= int64(n) {
			e.emit(j, generator.Chunk{Position: position, Texts: texts})
			e.remove(j)
			return
		}
	}
	if len(texts) > 0 {
		e.emit(j, generator.Chunk{Position: position, Texts: texts})
	}
	if j.nextPosition >= j.MaxTokens {
		e.finish(j)
	}
}

// emit sends one chunk on a job's stream. While the fault swap is on, it sends
// the chunk on the stream of another decoding job, if there is one.
func (e *Engine) emit(j *job, c generator.Chunk) {
	c.Job = j.ID
	if e.Faults.Get(SwapStreams) == 0 {
		j.chunks <- c
		return
	}
	target := j
	for _, other := range e.jobs {
		if other != j && other.decoding && (target == j || other.ID < target.ID) {
			target = other
		}
	}
	select {
	case target.chunks <- c:
		if target != j {
			e.swappedChunks++
		}
	default: // the target's channel is full: drop the chunk
	}
}

// finish sends the end chunk of a job, removes it, and makes the engine warm
// after Config.Warmup finished jobs.
func (e *Engine) finish(j *job) {
	e.emit(j, generator.Chunk{End: true, Position: j.nextPosition, Prompt: j.promptTokens, Cached: j.cachedTokens, Finish: "length"})
	e.remove(j)
	e.finished++
	if e.finished >= e.config.Warmup {
		e.warm = true
	}
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, found := e.jobs[id]; found {
		e.remove(j)
	}
}

// export ends a job and stores its KV cache under a handle, which it returns.
func (e *Engine) export(id string) (generator.Cache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, found := e.jobs[id]
	if !found {
		return generator.Cache{}, &generator.StatusError{Code: http.StatusNotFound, Text: "no job " + id}
	}
	prefilled := j.promptTokens - int64(j.prefillLeft)
	handle := fmt.Sprintf("%s-%d", id, e.boot)
	e.exports[handle] = export{memory: prefilled, prefilled: prefilled}
	e.emit(j, generator.Chunk{Position: j.nextPosition, Moved: true})
	e.remove(j)
	return generator.Cache{Handle: handle, Tokens: prefilled}, nil
}
