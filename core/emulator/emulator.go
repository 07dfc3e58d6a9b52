// Package emulator is a discrete-event simulation of model engines. With it,
// placement policies can be evaluated on a load within milliseconds and with
// reproducible results.
//
// An engine works in passes. A pass with requests to decode consists of a fixed
// number of token steps, each of which may prefill a chunk of prompts; at its end
// one event is sent for each of these requests. A pass without requests to decode
// consists of a single step. Parts of split prompts are prefilled before other
// prompts, the newest first. The first event of a split prompt is sent when the
// last part is complete.
//
// # Usage
//
//	e := emulator.New(emulator.Config{Engines: 14, Engine: engine})
//	e.Schedule(time, func() { e.Submit(emulator.Job{...}) })
//	e.Run(until)
//
// It simulates neither failures nor the network.
package emulator

import (
	"container/heap"
	"time"

	"bamboohill/core/predictor"
)

// Config configures an Emulator.
type Config struct {
	Engines int
	Engine  predictor.Engine
	// Slowdown returns the duration of the work of an engine at a time, relative to Engine.
	// A pass keeps that of its begin. nil means that no engine is slow.
	Slowdown func(engine int, at time.Duration) float64
}

// Job is one prompt and its answer.
type Job struct {
	Engine   int   // index of the engine that decodes the answer
	Helpers  []int // indexes of the engines that prefill parts of the prompt
	Tokens   int   // of the prompt
	Answer   int   // tokens
	Reserved []int // tokens held by each helper; nil if none
	Events   int   // of the answer, one for each pass
	// OnFirst, OnNext and OnEnd are called when the first event, each later event,
	// and the last event are sent. Each of them may be nil.
	OnFirst, OnNext, OnEnd func(now time.Duration)
}

// Emulator holds the engines and the simulated clock. It is not safe for
// concurrent use.
type Emulator struct {
	config    Config
	now       time.Duration
	sequence  int
	callbacks callbackQueue
	engines   []*engine
}

// callback is a function to be called at a time.
type callback struct {
	at       time.Duration
	sequence int // breaks ties, so that runs are reproducible
	run      func()
}

type callbackQueue []callback

func (q callbackQueue) Len() int { return len(q) }
func (q callbackQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q callbackQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *callbackQueue) Push(x any) { *q = append(*q, x.(callback)) }

// Pop implements heap.Interface.
func (q *callbackQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns an Emulator with idle engines at time zero.
func New(config Config) *Emulator {
	e := &Emulator{config: config}
	for i := range config.Engines {
		e.engines = append(e.engines, &engine{emulator: e, index: i})
	}
	return e
}

// Now returns the simulated time.
func (e *Emulator) Now() time.Duration { return e.now }

// Schedule calls run at a time, or at the current time if that has passed.
func (e *Emulator) Schedule(at time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.callbacks, callback{at: max(at, e.now), sequence: e.sequence, run: run})
}

// Run executes the scheduled functions up to a time and sets the clock to it.
func (e *Emulator) Run(until time.Duration) {
	for len(e.callbacks) > 0 && e.callbacks[0].at <= until {
		next := heap.Pop(&e.callbacks).(callback)
		e.now = next.at
		next.run()
	}
	e.now = until
}

// Submit queues a job at its engine. It reports false and refuses the job if the
// job needs more memory than the engine has.
func (e *Emulator) Submit(j Job) bool {
	t := &task{Job: j, pendingParts: 1 + len(j.Helpers), memoryTokens: j.Tokens + j.Answer}
	for _, tokens := range j.Reserved {
		t.memoryTokens -= tokens
	}
	if t.memoryTokens > e.config.Engine.Capacity {
		return false
	}
	decoder := e.engines[j.Engine]
	decoder.queue = append(decoder.queue, t)
	decoder.admit()
	return true
}
