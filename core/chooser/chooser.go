// Package chooser combines placement and admission: it chooses a server for a
// request that can finish before its deadline, or returns the delay after which
// to retry.
//
// # Usage
//
//	c := chooser.New(chooser.Config{Picker: router.New(router.Config{}), Admitter: admitter.New(admitter.Config{})})
//	choice, err := c.Choose(job, view.Servers, time.Now())
//	c.RecordPlacement(choice, time.Now())
//	...                                          // first token
//	c.RecordFirstToken(choice, job.Prompt, took)
//	...                                          // last token
//	c.RecordLastToken(choice, took)
//	...                                          // end of any kind, or refusal
//	c.RecordEnd(choice)
//
// The placement policy is an interface, Picker, so that policies can be replaced
// and compared.
package chooser

import (
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/wire"
)

// Picker is a placement policy. *router.Router is one.
type Picker interface {
	// Pick returns the choice for a job among the servers, or an error.
	Pick(job router.Job, servers []watcher.Server, now time.Time) (router.Choice, error)
	// RecordPlacement records that a choice is being proposed to its server.
	RecordPlacement(choice router.Choice, now time.Time)
	// RecordFirstToken records the first token of a placed choice.
	RecordFirstToken(choice router.Choice)
	// RecordEnd records the end of a placed choice.
	RecordEnd(choice router.Choice)
}

// Config configures a Chooser. With a nil Admitter every request is admitted.
type Config struct {
	Picker   Picker
	Admitter *admitter.Admitter
}

// Chooser chooses servers. It is safe for concurrent use if its Picker is.
type Chooser struct {
	Picker
	admitter *admitter.Admitter
}

// New returns a chooser. It panics without a Picker.
func New(config Config) *Chooser {
	if config.Picker == nil {
		panic("chooser: nil picker")
	}
	return &Chooser{Picker: config.Picker, admitter: config.Admitter}
}

// Choose returns the server for the first attempt of a request. If the best of
// a few candidates would miss the deadline, it considers all servers. If the best
// of these would miss it too, Choose returns an *admitter.LateError.
func (c *Chooser) Choose(job router.Job, servers []watcher.Server, now time.Time) (router.Choice, error) {
	choice, err := c.Pick(job, servers, now)
	if err != nil || c.admit(job, choice, now) == nil {
		return choice, err
	}
	job.AllServers = true
	choice, err = c.Pick(job, servers, now)
	if err != nil {
		return choice, err
	}
	return choice, c.admit(job, choice, now)
}

func (c *Chooser) admit(job router.Job, choice router.Choice, now time.Time) error {
	if c.admitter == nil || job.Kind != wire.Kind_KIND_MODEL || job.Deadline.IsZero() {
		return nil
	}
	return c.admitter.Admit(admitter.Request{
		Prompt: job.Prompt, FirstToken: choice.FirstToken, LastToken: choice.LastToken, Remaining: job.Deadline.Sub(now),
	})
}

// RecordFirstToken records the first token of a request. took is the time since
// the placement, prompt the length of the prompt in tokens.
func (c *Chooser) RecordFirstToken(choice router.Choice, prompt int64, took time.Duration) {
	c.Picker.RecordFirstToken(choice)
	if c.admitter != nil {
		c.admitter.RecordFirstToken(prompt, choice.FirstToken, took)
	}
}

// RecordLastToken records the last token of a request. took is the time since the
// first token.
func (c *Chooser) RecordLastToken(choice router.Choice, took time.Duration) {
	if c.admitter != nil {
		c.admitter.RecordLastToken(choice.LastToken-choice.FirstToken, took)
	}
}

// FirstTokenTime returns the expected time to the first token of a choice. With an
// Admitter it includes its margin and the slowdown that it learned for prompts of
// that length in tokens.
func (c *Chooser) FirstTokenTime(choice router.Choice, prompt int64) time.Duration {
	if c.admitter == nil {
		return choice.FirstToken
	}
	return c.admitter.Estimate(admitter.Request{Prompt: prompt, FirstToken: choice.FirstToken, LastToken: choice.FirstToken})
}
