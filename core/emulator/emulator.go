// Package emulator imitates model engines under a fake clock, so that decisions
// can be tried on a load in milliseconds and with the same result each time.
//
// An engine works in passes. One with writers makes a number of token steps,
// each of which may read a chunk of prompts; at its end every writer's event
// leaves. One without writers makes a step at a time. Parts of prompts that
// several engines read go ahead of other reading, the newest first. The first
// event follows the last part.
//
// # Usage
//
//	e := emulator.New(emulator.Config{Engines: 14, Engine: engine})
//	e.At(time, func() { e.Submit(emulator.Job{...}) })
//	e.Run(until)
//
// It knows no failures, and no transport but a fixed delay.
package emulator

import (
	"container/heap"
	"time"

	"bamboohill/core/predictor"
)

// Config describes an Emulator.
type Config struct {
	Engines int
	Engine  predictor.Engine
}

// Job is one prompt.
type Job struct {
	Engine   int   // that writes the answer
	Helpers  []int // that read parts of the prompt
	Tokens   int
	Answer   int // tokens
	Reserved []int
	Events   int // of the answer, one each pass
	// OnFirst, OnNext and OnEnd are called when the first event, each later one, and
	// the last leave. Any may be nil.
	OnFirst, OnNext, OnEnd func(now time.Duration)
}

// Emulator holds the engines and the clock. It is not safe for concurrent use.
type Emulator struct {
	config  Config
	now     time.Duration
	order   int
	agenda  agenda
	engines []*engine
}

// appointment is something that happens at a time.
type appointment struct {
	at    time.Duration
	order int // breaks ties, so that every run is the same
	what  func()
}

type agenda []appointment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(appointment)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// New returns idle engines at time zero.
func New(config Config) *Emulator {
	e := &Emulator{config: config}
	for range config.Engines {
		e.engines = append(e.engines, &engine{emulator: e})
	}
	return e
}

// Now returns the time of the clock.
func (e *Emulator) Now() time.Duration { return e.now }

// Schedule does something at a time, at once if that has passed.
func (e *Emulator) Schedule(at time.Duration, what func()) {
	e.order++
	heap.Push(&e.agenda, appointment{at: max(at, e.now), order: e.order, what: what})
}

// Run runs the clock up to a time.
func (e *Emulator) Run(until time.Duration) {
	for len(e.agenda) > 0 && e.agenda[0].at <= until {
		next := heap.Pop(&e.agenda).(appointment)
		e.now = next.at
		next.what()
	}
	e.now = until
}

// Submit hands a job to its engine. It reports false if the job needs more
// memory than the engine has, which then turns it down.
func (e *Emulator) Submit(j Job) bool {
	t := &task{Job: j, missing: 1 + len(j.Helpers), memory: j.Tokens + j.Answer}
	for _, held := range j.Reserved {
		t.memory -= held
	}
	if t.memory > e.config.Engine.Capacity {
		return false
	}
	first := e.engines[j.Engine]
	first.queue = append(first.queue, t)
	first.admit()
	return true
}
