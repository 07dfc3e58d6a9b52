// Package assigner decides which model engines serve a prompt. It is designed for
// two load patterns that alternate within seconds: bursts of short prompts, whose
// requests tolerate only short pauses between events, and waves of long prompts,
// whose prefill occupies engines for seconds and delays the events of all other
// requests there.
//
// A prompt can be served by one engine, or its prefill can be split among several.
// The cost of each plan is the expected value of the answers that it makes late:
// the answer to the prompt, and those of the requests that are decoded on the
// engines that prefill. As a result short prompts are packed on few engines, and
// long prompts are split among many engines that decode no short ones. How far one
// kind gives way to the other depends on the current load.
//
// What it knows of the kinds of requests it takes from Prompt.Terms; package profiler
// derives them. The constants here are ratios that hold for any load.
//
// The functions have no side effects.
//
// # Usage
//
//	plan, found := assigner.Choose(prompt, candidates)
package assigner

import (
	"time"

	"bamboohill/core/loadtracker"
	"bamboohill/core/predictor"
	"bamboohill/core/profiler"
	"bamboohill/core/viewer"

	"github.com/cespare/xxhash/v2"
)

// Prompt is a prompt to be placed.
type Prompt struct {
	Tokens        int                  // in the prompt
	Answer        int                  // maximum number of tokens to generate
	Target        time.Duration        // maximum time to the first event
	Gap           time.Duration        // maximum time between two events
	Waited        time.Duration        // since the request was received
	CallerTimeout time.Duration        // total time that the caller waits; 0 if unknown
	PrefillLoad   float64              // share of all engines that is busy with recently requested prefill
	UpdateDelay   time.Duration        // until this entry learns of placements by other entries
	Value         float64              // of an answer in time, in units of the smallest one
	Terms         *profiler.Parameters // of the kinds that Load counts; never nil
	Rank          int                  // 0 is the most urgent
	disabled      Features             // features of the policy
	tuning        *Tuning              // of the cost model; nil for the default
}

// Candidate is an engine that could serve the prompt.
type Candidate struct {
	ID        viewer.ServerID
	Engine    *predictor.Engine
	Load      loadtracker.Load
	Slowdown  float64 // pass time relative to normal; 0 means 1
	EntryRank float64 // 0 to 1; see EntryRank
	NoHelper  bool    // it must not prefill parts of prompts of others
	Remote    bool    // in another failure domain than this entry, see localizer.Remote
}

// Plan is a way to serve a prompt.
type Plan struct {
	Server          viewer.ServerID
	Helpers         []viewer.ServerID // engines that prefill parts of the prompt
	Reserved        []int             // tokens to reserve at each helper; nil if the server holds all
	Context         int               // tokens held by the server
	MemoryShort     bool              // the engines have too little free memory
	PrefillTime     time.Duration     // prefill time of each engine
	Expected        time.Duration     // time to the first event
	Cost            float64           // expected value of the answers that the plan makes late
	OpportunityCost float64           // value of the answers that its prefill displaces
}

// MaxHelpers is the maximum number of helpers of one prompt.
const MaxHelpers = 16

// partCounts are the numbers of parts to try. They grow by about a quarter, since
// the cost differs little in between.
var partCounts = [...]int{1, 2, 3, 4, 5, 6, 8, 10, 13, MaxHelpers + 1}

// maxParts returns the number of engines among which a prompt may be split.
func maxParts(p Prompt, all []Candidate) int {
	if len(all) == 0 || !p.enabled(Helpers) {
		return min(1, len(all))
	}
	helpers := 0
	for i := range all {
		if !all[i].NoHelper {
			helpers++
		}
	}
	least := max(1, int(p.tuning.MinPartChunks*float64(all[0].Engine.ChunkTokens)))
	return min(len(all), max(1, helpers), MaxHelpers+1, max(1, p.Tokens/least))
}

// unknown are the parameters without kinds.
var unknown = &profiler.Parameters{LeastValue: 1}

// complete fills in what the prompt lacks.
func (p Prompt) complete() Prompt {
	if p.Terms == nil {
		p.Terms = unknown
	}
	if p.tuning == nil {
		p.tuning = &defaultTuning
	}
	if p.Value <= 0 {
		p.Value = p.Terms.Value(0, 0, p.Tokens)
	}
	return p
}

// Choose returns the plan with the lowest cost. It reports false if there are no
// candidates.
func Choose(p Prompt, all []Candidate) (Plan, bool) {
	p = p.complete()
	var best Plan
	found := false
	engines := make([]engine, len(all))
	for i := range all {
		engines[i] = newEngine(p, &all[i])
	}
	setRanks(p, engines)
	scored := make([]score, 0, len(all))
	most := maxParts(p, all)
	for _, parts := range partCounts {
		if parts > most {
			break
		}
		plan := bestPlan(p, engines, scored, parts)
		if !found || plan.Cost < best.Cost {
			best, found = plan, true
		}
	}
	best.OpportunityCost = opportunityCost(p, best)
	return best, found
}

// opportunityCost returns the value of later prompts that the prefill of the plan
// displaces: 0 while engines are idle, rising to the full value of that prefill time
// when engines are scarce.
func opportunityCost(p Prompt, plan Plan) float64 {
	if !p.enabled(PrefillScarcity) {
		return 0
	}
	scarcity := min(1, max(0, (p.PrefillLoad-p.tuning.ScarceFrom)/(p.tuning.ScarceTo-p.tuning.ScarceFrom)))
	work := plan.PrefillTime.Seconds() * float64(1+len(plan.Helpers))
	return p.Terms.PrefillValue * scarcity * work
}

// EntryRank returns the rank of an engine, from 0 to 1, in an entry's own order of
// preference among equal engines; lower is preferred. The seed differs between
// entries. Entries that learn of each other's placements with a delay therefore
// seldom choose the same engine, and need no coordination for it.
func EntryRank(seed uint64, id viewer.ServerID) float64 {
	z := seed + xxhash.Sum64String(string(id))
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
