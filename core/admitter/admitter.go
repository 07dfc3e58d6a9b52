// Package admitter decides whether a request can finish before its deadline,
// and if not, when to come back. What cannot finish is refused at once: it
// would take the place of requests that can.
//
// Expectations come from the router and know nothing of the requests that will
// overtake this one, so an Admitter learns for each length class by how much
// the real time to the first token exceeds the expected one, and by how much
// the answer's, and allows for both.
//
// # Usage
//
//	a := admitter.New(admitter.Config{})
//	err := a.Admit(admitter.Ask{Prompt: tokens, First: choice.First, Whole: choice.Whole, Left: left})
//	...                 // first token
//	a.Learn(tokens, choice.First, took)
//	...                 // last token, so long after the first
//	a.LearnAnswer(choice.Whole-choice.First, took)
//
// An Admitter is safe for concurrent use.
package admitter

import (
	"fmt"
	"math/bits"
	"sync"
	"time"
)

// Defaults of Config.
const (
	defaultMargin = 20 * time.Millisecond
	defaultMost   = 4.0
	defaultRetry  = time.Second
	defaultLatest = time.Minute
)

// learning is the weight of one new observation.
const learning = 0.05

// classes is how many length classes an Admitter tells apart, by powers of
// four of the prompt's length.
const classes = 16

// Config describes an Admitter. Zero values mean the defaults.
type Config struct {
	Margin      time.Duration // kept free before the deadline, 20 ms
	MaxSlowdown float64       // largest allowance as a multiple of what is expected, 4
	MinRetry    time.Duration // soonest time to come back, 1 s
	MaxRetry    time.Duration // latest time to come back, 1 min
}

// Request is one request that wants to be admitted.
type Request struct {
	Prompt     int64         // tokens
	FirstToken time.Duration // expected until the first token
	LastToken  time.Duration // expected until the last token
	Remaining  time.Duration // until the deadline
}

// LateError says that a request cannot finish in time.
type LateError struct {
	Estimate  time.Duration // expected with the learnt allowance
	Remaining time.Duration
	Retry     time.Duration // when to come back
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("admitter: needs %v and has %v", e.Estimate, e.Remaining)
}

// Admitter decides.
type Admitter struct {
	config  Config
	mu      sync.Mutex
	stretch [classes]float64 // of the first token, by length class
	answer  float64          // stretch of the rest
}

// New returns an admitter that has learnt nothing.
func New(config Config) *Admitter {
	if config.Margin <= 0 {
		config.Margin = defaultMargin
	}
	if config.MaxSlowdown <= 1 {
		config.MaxSlowdown = defaultMost
	}
	if config.MinRetry <= 0 {
		config.MinRetry = defaultRetry
	}
	if config.MaxRetry <= 0 {
		config.MaxRetry = defaultLatest
	}
	a := &Admitter{config: config, answer: 1}
	for c := range a.stretch {
		a.stretch[c] = 1
	}
	return a
}

func classOf(prompt int64) int {
	return min(bits.Len64(uint64(max(0, prompt)))/2, classes-1)
}

// Estimate returns the time that a request is expected to take, with the learnt
// allowance.
func (a *Admitter) Estimate(q Request) time.Duration {
	a.mu.Lock()
	first, answer := a.stretch[classOf(q.Prompt)], a.answer
	a.mu.Unlock()
	return time.Duration(float64(q.FirstToken)*first+float64(max(0, q.LastToken-q.FirstToken))*answer) + a.config.Margin
}

// Admit returns nil for a request that can finish in time and a *LateError for
// one that cannot. It says to come back when the queue that stands in the way
// will have been worked off.
func (a *Admitter) Admit(q Request) error {
	needs := a.Estimate(q)
	if needs <= q.Remaining {
		return nil
	}
	return &LateError{Estimate: needs, Remaining: q.Remaining, Retry: min(max(needs-q.Remaining, a.config.MinRetry), a.config.MaxRetry)}
}

// RecordFirstToken takes the real time to the first token of an admitted request.
func (a *Admitter) RecordFirstToken(prompt int64, expected, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(&a.stretch[classOf(prompt)], expected, took)
}

// RecordLastToken takes the real time from the first to the last token of an
// admitted request.
func (a *Admitter) RecordLastToken(expected, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(&a.answer, expected, took)
}

func (a *Admitter) learn(s *float64, expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	// That it came early teaches nothing: the next one may be overtaken.
	ratio := min(max(float64(took)/float64(expected), 1), a.config.MaxSlowdown)
	*s += learning * (ratio - *s)
}
