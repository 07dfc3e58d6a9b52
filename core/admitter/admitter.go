// Package admitter decides whether a request can finish before its deadline
// and, if not, after what delay a retry is worthwhile. A request that cannot
// finish in time is refused at once, since it would take capacity from requests
// that can.
//
// The router's expected times do not account for requests that arrive later
// but are served earlier. An Admitter therefore learns by what factor the
// actual times exceed the expected ones, and multiplies its estimates by that
// factor: one factor for the time to the first token in each class of prompt
// lengths, and one for the time from the first token to the last.
//
// # Usage
//
//	a := admitter.New(admitter.Config{})
//	err := a.Admit(admitter.Request{
//		Prompt: tokens, FirstToken: choice.FirstToken, LastToken: choice.LastToken, Remaining: remaining,
//	})
//	// At the first token, took after the request was sent:
//	a.RecordFirstToken(tokens, choice.FirstToken, took)
//	// At the last token, took after the first:
//	a.RecordLastToken(choice.LastToken-choice.FirstToken, took)
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
	defaultMargin      = 20 * time.Millisecond
	defaultMaxSlowdown = 4.0
	defaultMinRetry    = time.Second
	defaultMaxRetry    = time.Minute
)

// learningRate is the weight of a new observation in the moving average of a
// slowdown.
const learningRate = 0.05

// lengthClasses is the number of classes of prompt lengths. Each class spans a
// factor of four in tokens; the last one has no upper end.
const lengthClasses = 16

// Config configures an Admitter. A zero value selects the default.
type Config struct {
	Margin      time.Duration // added to each estimate, default 20 ms
	MaxSlowdown float64       // upper bound of actual time / expected time, default 4
	MinRetry    time.Duration // lower bound of RetryAfter, default 1 s
	MaxRetry    time.Duration // upper bound of RetryAfter, default 1 min
}

// Request describes a request that asks for admission.
type Request struct {
	Prompt     int64         // length in tokens
	FirstToken time.Duration // expected time to the first token
	LastToken  time.Duration // expected time to the last token
	Remaining  time.Duration // time until the deadline, negative after it
}

// LateError reports that a request cannot finish before its deadline.
type LateError struct {
	Estimate   time.Duration // expected time with the learned slowdowns
	Remaining  time.Duration // time until the deadline
	RetryAfter time.Duration // delay before a retry
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("admitter: request needs %v, but its deadline is in %v", e.Estimate, e.Remaining)
}

// Admitter decides on admission. Create it with New.
type Admitter struct {
	config         Config
	mu             sync.Mutex
	firstSlowdown  [lengthClasses]float64 // of the time to the first token, by length class
	answerSlowdown float64                // of the time from the first to the last token
}

// New returns an Admitter without observations: all its slowdowns are 1.
func New(config Config) *Admitter {
	if config.Margin <= 0 {
		config.Margin = defaultMargin
	}
	if config.MaxSlowdown <= 1 {
		config.MaxSlowdown = defaultMaxSlowdown
	}
	if config.MinRetry <= 0 {
		config.MinRetry = defaultMinRetry
	}
	if config.MaxRetry <= 0 {
		config.MaxRetry = defaultMaxRetry
	}
	a := &Admitter{config: config, answerSlowdown: 1}
	for c := range a.firstSlowdown {
		a.firstSlowdown[c] = 1
	}
	return a
}

// lengthClass returns the class of a prompt length in tokens.
func lengthClass(prompt int64) int {
	return min(bits.Len64(uint64(max(0, prompt)))/2, lengthClasses-1)
}

// Estimate returns the expected time of a request with the learned slowdowns
// and the margin.
func (a *Admitter) Estimate(q Request) time.Duration {
	a.mu.Lock()
	first, answer := a.firstSlowdown[lengthClass(q.Prompt)], a.answerSlowdown
	a.mu.Unlock()
	return time.Duration(float64(q.FirstToken)*first+float64(max(0, q.LastToken-q.FirstToken))*answer) + a.config.Margin
}

// Admit returns nil if the request can finish in time, else a *LateError. Its
// RetryAfter is the time by which the estimate exceeds the remaining time,
// within the configured bounds: by then enough of the queue will have been
// served.
func (a *Admitter) Admit(q Request) error {
	estimate := a.Estimate(q)
	if estimate <= q.Remaining {
		return nil
	}
	return &LateError{Estimate: estimate, Remaining: q.Remaining, RetryAfter: min(max(estimate-q.Remaining, a.config.MinRetry), a.config.MaxRetry)}
}

// RecordFirstToken records the expected and the actual time to the first token
// of an admitted request whose prompt has the given number of tokens.
func (a *Admitter) RecordFirstToken(prompt int64, expected, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update(&a.firstSlowdown[lengthClass(prompt)], expected, took)
}

// RecordLastToken records the expected and the actual time from the first to
// the last token of an admitted request.
func (a *Admitter) RecordLastToken(expected, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update(&a.answerSlowdown, expected, took)
}

// update moves a slowdown towards the ratio of two times. Times that are not
// positive are ignored.
func (a *Admitter) update(slowdown *float64, expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	// A request that finished early counts as on time: the next one may still be
	// delayed by requests that arrive later but are served earlier.
	ratio := min(max(float64(took)/float64(expected), 1), a.config.MaxSlowdown)
	*slowdown += learningRate * (ratio - *slowdown)
}
