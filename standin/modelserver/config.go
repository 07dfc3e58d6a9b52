package modelserver

import (
	"time"

	"bamboohill/core/generator"
)

// CrashMarker is a text that makes the engine crash at the end of the prefill of
// a prompt that contains it.
const CrashMarker = "<<crash>>"

// TokenBytes is the length of a prompt token in bytes.
const TokenBytes = 4

// blockTokens is the size of a prefix cache block in tokens.
const blockTokens = 512

// Names of the engine's own faults; the package comment describes them.
const (
	Cold        = "cold"
	Crash       = "crash"
	OrphanJobs  = "orphan"
	EventDelay  = "lag"
	EventLoss   = "gap"
	Truncate    = "truncate"
	SwapStreams = "swap"
	Slowdown    = "creep"
	HoldOrder   = "late" // holds one order until it is turned off
)

// Defaults of Config.
const (
	defaultMemory       = 400_000
	defaultPrefill      = 50_000.0
	defaultDecode       = 200.0
	defaultStep         = 2 * time.Millisecond
	defaultWarmup       = 40
	defaultColdCapacity = 2
	defaultWarmCapacity = 64
	defaultRestart      = 500 * time.Millisecond
)

// Config describes an engine. Zero values mean the defaults.
type Config struct {
	Memory       int64             // tokens of KV cache
	Prefill      float64           // tokens per second, shared by all jobs
	Decode       float64           // tokens per second of each stream
	Step         time.Duration     // scheduler step
	Models       []generator.Model // models loaded at the start
	Fencing      bool              // refuse orders with an old fencing token
	ColdCapacity int               // concurrent jobs of a cold engine; it crashes above
	WarmCapacity int               // concurrent jobs of a warm engine; it crashes above
	Warmup       int               // finished jobs until it is warm
	Warm         bool              // start warm
	Restart      time.Duration     // time that a crashed engine is unavailable
	WeightStore  string            // address of the weight store; models load at once if empty
}

// withDefaults returns c with the defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.Memory <= 0 {
		c.Memory = defaultMemory
	}
	if c.Prefill <= 0 {
		c.Prefill = defaultPrefill
	}
	if c.Decode <= 0 {
		c.Decode = defaultDecode
	}
	if c.Step <= 0 {
		c.Step = defaultStep
	}
	if c.ColdCapacity <= 0 {
		c.ColdCapacity = defaultColdCapacity
	}
	if c.WarmCapacity <= 0 {
		c.WarmCapacity = defaultWarmCapacity
	}
	if c.Warmup <= 0 {
		c.Warmup = defaultWarmup
	}
	if c.Restart <= 0 {
		c.Restart = defaultRestart
	}
	if len(c.Models) == 0 {
		c.Models = []generator.Model{{Name: "base", Version: "1"}}
	}
	return c
}
