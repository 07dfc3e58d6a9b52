// Package predictor predicts the latency of a model engine. An engine works in
// passes. While it decodes any request, a pass consists of a fixed number of
// token steps, each of which may also prefill a chunk of another prompt. The
// tokens generated in a pass are sent at its end, in one event for each request.
// A long prompt that is being prefilled therefore delays the next event of every
// request that is being decoded on the same engine.
//
// The functions have no side effects.
//
// # Usage
//
//	prefill := engine.PrefillTime(210_000)
//	pass := engine.PassTime(predictor.Batch{Decoding: 3, Context: 40_000, Prefill: prefill})
package predictor

import "time"

// Engine holds the performance parameters of one kind of model engine. Times
// apply to an engine at normal speed.
type Engine struct {
	Slots              int           // maximum number of concurrent requests
	Capacity           int           // tokens that fit into the memory
	StepsPerPass       int           // token steps of a pass while any request is decoded
	StepTime           time.Duration // duration of a token step without requests
	StepPerRequest     time.Duration // added to a step by each request that is decoded
	StepPerKTokens     time.Duration // added to a step by each 1,000 tokens of their context
	PrefillRate        float64       // tokens per second, without attention
	AttentionPerMPairs time.Duration // attention time of a million pairs of a token and an earlier one
	ChunkTokens        int           // maximum number of tokens prefilled in one step
}

// tokensPerK is the unit of Engine.StepPerKTokens, in tokens.
const tokensPerK = 1000

// Batch is the work of an engine.
type Batch struct {
	Decoding int           // requests that are decoded
	Context  int           // tokens of the prompts and answers of requests that are decoded
	Prefill  time.Duration // remaining prefill time of prompts
}

// PrefillTime returns the time that the engine takes to prefill a prompt of the
// given number of tokens while it does nothing else. It returns 0 if the
// PrefillRate is not positive.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.AttentionPerMPairs)
	return time.Duration(linear + pairs)
}

// DecodeTime returns the duration of a pass that decodes the given number of
// requests and prefills nothing. context is the tokens of their prompts and
// answers.
func (e *Engine) DecodeTime(requests, context int) time.Duration {
	step := e.StepTime + time.Duration(requests)*e.StepPerRequest + time.Duration(float64(context)/tokensPerK*float64(e.StepPerKTokens))
	return time.Duration(max(1, e.StepsPerPass)) * step
}

// PassTime returns the duration of the next pass, which is also the pause
// between two events of every request that is decoded. The prefill of one pass
// is limited by the chunks of its steps.
func (e *Engine) PassTime(b Batch) time.Duration {
	return e.DecodeTime(b.Decoding, b.Context) + min(b.Prefill, e.maxPrefill())
}

// maxPrefill returns the longest time that one pass spends on prefill. Attention
// makes later tokens of a prompt more expensive; for a prompt of one pass it at
// most about doubles the time.
func (e *Engine) maxPrefill() time.Duration {
	return 2 * e.PrefillTime(max(1, e.StepsPerPass)*e.ChunkTokens)
}

// FirstToken returns the time until the first event of a prompt on an engine with
// the given batch. prefill is the prefill time of the prompt alone. The result is
// the sum of the rest of the current pass, the prefill of earlier prompts and of
// this one, and the decoding in all passes up to the one that generates the first
// tokens. An engine that decodes no request makes passes of a single step.
func (e *Engine) FirstToken(b Batch, prefill time.Duration) time.Duration {
	if b.Decoding == 0 {
		return b.Prefill + time.Duration(idleFactor*float64(prefill)) + roundTrip
	}
	decode := e.DecodeTime(b.Decoding+1, b.Context)
	passes := time.Duration(1)
	if limit := e.maxPrefill(); limit > 0 {
		passes += (b.Prefill + prefill) / limit
	}
	return decode/2 + b.Prefill + prefill + passes*decode
}

// Overhead of an engine that decodes no request, beyond prefill: a factor for the
// token steps, and the network round trip.
const (
	idleFactor = 1.03
	roundTrip  = 10 * time.Millisecond
)
