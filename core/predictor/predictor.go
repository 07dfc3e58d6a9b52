// Package predictor tells how long a model engine takes. An engine works in
// passes: while a request writes, a pass is a number of token steps, each of
// which may also read a chunk of somebody's prompt; all that a pass wrote
// leaves the engine at its end. So a long prompt that is being read delays the
// next event of every writer beside it.
//
// The package is pure.
//
// # Usage
//
//	read := engine.ReadTime(210_000)
//	pass := engine.PassTime(predictor.Batch{Writers: 3, Context: 40_000, Reading: read})
package predictor

import "time"

// Engine holds the constants of one kind of model engine. Times are those of
// an engine at its normal pace.
type Engine struct {
	Slots              int           // requests that run at once
	Capacity           int           // tokens that the memory holds
	StepsPerPass       int           // token steps of a pass that has writers
	StepTime           time.Duration // of a token step with nobody in it
	StepPerRequest     time.Duration // added to a step by each writer
	StepPerKTokens     time.Duration // added to a step by each 1,000 tokens of writers' context
	PrefillRate        float64       // tokens read per second
	AttentionPerMPairs time.Duration // to attend a million pairs of a token and an earlier one
	ChunkTokens        int           // most tokens read in one step
}

// tokensPerK is the unit of Engine.PerK.
const tokensPerK = 1000

// Batch is what an engine has before it.
type Batch struct {
	Decoding int
	Context  int           // tokens of the writers' prompts and answers
	Prefill  time.Duration // of prompts, not yet done
}

// PrefillTime returns how long the engine takes to read a prompt alone, in
// tokens.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.AttentionPerMPairs)
	return time.Duration(linear + pairs)
}

// DecodeTime returns how long a pass with the writers takes when nothing is read.
func (e *Engine) DecodeTime(writers, context int) time.Duration {
	step := e.StepTime + time.Duration(writers)*e.StepPerRequest + time.Duration(float64(context)/tokensPerK*float64(e.StepPerKTokens))
	return time.Duration(max(1, e.StepsPerPass)) * step
}

// PassTime returns how long the next pass takes, and with it the pause between
// two events of every writer. A pass reads no more than its steps carry.
func (e *Engine) PassTime(b Batch) time.Duration {
	return e.DecodeTime(b.Decoding, b.Context) + min(b.Prefill, e.mostRead())
}

// mostRead returns the longest time that one pass spends on reading. Pairs
// make a deep prompt's tokens dearer, at most about as dear again as the
// tokens themselves for a prompt of one pass.
func (e *Engine) mostRead() time.Duration {
	return 2 * e.PrefillTime(max(1, e.StepsPerPass)*e.ChunkTokens)
}

// FirstToken returns how long a prompt that takes read waits for its first
// event at an engine with the batch: the rest of the pass under way, what is
// to be read before it, and the pass that writes its first tokens. An engine
// that nobody writes at makes short passes.
func (e *Engine) FirstToken(b Batch, read time.Duration) time.Duration {
	if b.Decoding == 0 {
		return b.Prefill + time.Duration(idleSlack*float64(read)) + firstSlack
	}
	idle := e.DecodeTime(b.Decoding+1, b.Context)
	passes := time.Duration(1)
	if most := e.mostRead(); most > 0 {
		passes += (b.Prefill + read) / most
	}
	return idle/2 + b.Prefill + read + passes*idle
}

// What an engine without writers takes beyond reading: the steps themselves,
// and the way there and back. Measured on the users' platform, one prompt at a
// time.
const (
	idleSlack  = 1.03
	firstSlack = 10 * time.Millisecond
)
