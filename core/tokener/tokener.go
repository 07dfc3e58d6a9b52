// Package tokener estimates the length of prompts in tokens from their length
// in bytes, by the bytes per token that each model's engines have counted.
//
// # Usage
//
//	t := tokener.New(tokener.Config{})
//	tokens := t.Tokens("base", int64(len(prompt)))
//	t.Learn("base", int64(len(prompt)), end.GetPrompt())
//
// A Tokener is safe for concurrent use.
package tokener

import "sync"

// Defaults of Config.
const (
	defaultBytes  = 4.0
	defaultMemory = 1 << 20
)

// maxModels bounds the models that are remembered.
const maxModels = 1024

// Config describes a Tokener. Zero values mean the defaults.
type Config struct {
	Bytes  float64 // bytes per token of a model not seen yet, 4
	Memory int64   // bytes of prompts after which half of the past is forgotten, 1 MiB
}

// Tokener holds the measured bytes per token of each model.
type Tokener struct {
	config Config
	mu     sync.Mutex
	models map[string]*count
}

// count is what was seen of one model.
type count struct {
	bytes  float64
	tokens float64
}

// New returns a tokener that has learnt nothing.
func New(config Config) *Tokener {
	if config.Bytes <= 0 {
		config.Bytes = defaultBytes
	}
	if config.Memory <= 0 {
		config.Memory = defaultMemory
	}
	return &Tokener{config: config, models: map[string]*count{}}
}

// Tokens returns the expected length in tokens, at least 1, of a prompt of so
// many bytes.
func (t *Tokener) Tokens(model string, bytes int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	per := t.config.Bytes
	if c, found := t.models[model]; found {
		per = c.bytes / c.tokens
	}
	return max(1, int64(float64(bytes)/per+0.999))
}

// Learn takes an engine's count of the tokens of a prompt. Counts that are not
// positive, or that would mean more tokens than bytes, are ignored.
func (t *Tokener) Learn(model string, bytes, tokens int64) {
	if tokens <= 0 || bytes < tokens {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c, found := t.models[model]
	if !found {
		if len(t.models) >= maxModels {
			return
		}
		c = &count{}
		t.models[model] = c
	}
	c.bytes += float64(bytes)
	c.tokens += float64(tokens)
	if c.bytes > float64(t.config.Memory) {
		c.bytes /= 2
		c.tokens /= 2
	}
}
