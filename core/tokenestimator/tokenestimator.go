// Package tokenestimator estimates the number of tokens in a prompt from its
// length in bytes, using the bytes per token that each model's engines have
// reported.
//
// # Usage
//
//	e := tokenestimator.New(tokenestimator.Config{})
//	tokens := e.EstimateTokens("base", int64(len(prompt)))
//	e.Observe("base", int64(len(prompt)), end.GetPrompt())
//
// An Estimator is safe for concurrent use.
package tokenestimator

import "sync"

// Defaults of Config.
const (
	defaultBytesPerToken = 4.0
	defaultWindow        = 1 << 20
)

// maxModels is the maximum number of models with statistics. Further models use
// Config.BytesPerToken.
const maxModels = 1024

// Config describes an Estimator. Zero values mean the defaults.
type Config struct {
	BytesPerToken float64 // for models without statistics; default 4
	Window        int64   // bytes of prompts after which the statistics are halved; default 1 MiB
}

// Estimator holds the measured bytes per token of each model.
type Estimator struct {
	config Config
	mu     sync.Mutex
	models map[string]*tally
}

// tally holds the decayed totals of one model's prompts.
type tally struct {
	bytes  float64
	tokens float64
}

// New returns an Estimator without statistics.
func New(config Config) *Estimator {
	if config.BytesPerToken <= 0 {
		config.BytesPerToken = defaultBytesPerToken
	}
	if config.Window <= 0 {
		config.Window = defaultWindow
	}
	return &Estimator{config: config, models: map[string]*tally{}}
}

// EstimateTokens returns the expected number of tokens, at least 1, of a prompt
// with the given length in bytes.
func (e *Estimator) EstimateTokens(model string, bytes int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	per := e.config.BytesPerToken
	if c, found := e.models[model]; found {
		per = c.bytes / c.tokens
	}
	return max(1, int64(float64(bytes)/per+0.999))
}

// Observe records the number of tokens that an engine counted in a prompt of the
// given length in bytes. It ignores counts that are not positive or exceed the
// number of bytes.
func (e *Estimator) Observe(model string, bytes, tokens int64) {
	if tokens <= 0 || bytes < tokens {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c, found := e.models[model]
	if !found {
		if len(e.models) >= maxModels {
			return
		}
		c = &tally{}
		e.models[model] = c
	}
	c.bytes += float64(bytes)
	c.tokens += float64(tokens)
	if c.bytes > float64(e.config.Window) {
		c.bytes /= 2
		c.tokens /= 2
	}
}
