package gauger

import (
	"math"
	"time"

	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Run identifies one run of a backend server.
type Run struct {
	Server      viewer.ServerID
	StartMillis int64 // start time, in Unix milliseconds
}

// RunOf returns the run of a backend server.
func RunOf(s *viewer.Server) Run { return Run{Server: s.ID, StartMillis: s.StartMillis} }

// Hash returns a 32-bit hash of the run, to keep datagrams small.
func (r Run) Hash() uint32 {
	const multiplier = 0x9e3779b97f4a7c15 // spreads consecutive times over all bits
	return uint32((xxhash.Sum64String(string(r.Server)) ^ uint64(r.StartMillis)*multiplier) >> 32)
}

// Speed is what one entry knows first hand about the speed of a run of a server.
type Speed struct {
	Run      uint32  // Run.Hash
	Slowdown float64 // duration of its work relative to the reference of the entry
	Samples  float64 // passes or calls that show it, less those forgotten
}

// Change is a server that has become slow, or normal again.
type Change struct {
	Run      Run
	Slowdown float64 // 1 if it is normal again
	Samples  float64
	Entries  int // that show it
}

// kind is a way to measure speed.
type kind struct {
	spread   float64       // standard deviation of the logarithm of one sample
	quantile float64       // of the samples that is used
	window   time.Duration // age up to which samples are used
	longest  time.Duration // the same of as few samples as make an estimate of one entry
	merged   float64       // quantile of the estimates of entries that is used
	own      int           // samples of one entry below which it has no estimate
	minimum  float64       // samples of all entries from which a server may be found slow
	halfLife time.Duration // of the weight of an estimate without new samples
	memory   time.Duration // after which an estimate without new samples is dropped
}

// Prefill lengthens passes and nothing shortens them, so that the shortest ones are the
// closest to the speed of the engine. Calls of one route differ in their work.
var (
	passes = &kind{spread: 0.2, quantile: 0.1, merged: 0.5, window: 800 * time.Millisecond, longest: 4 * time.Second, own: 3, minimum: 7, halfLife: 5 * time.Second, memory: 15 * time.Second}
	calls  = &kind{spread: 0.6, quantile: 0.5, merged: 0.5, window: 5 * time.Second, longest: 5 * time.Second, own: 1, minimum: 8, halfLife: 5 * time.Second, memory: 15 * time.Second}
)

// deviates reports whether a slowdown that a number of samples shows exceeds a limit by
// more than the given number of standard errors.
func (k *kind) deviates(slowdown, samples, limit, errors float64) bool {
	return math.Log(slowdown) > math.Log(limit)+errors*k.spread/math.Sqrt(samples)
}
