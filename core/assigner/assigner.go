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
	disabled      Features             // features of the policy
}

// Candidate is an engine that could serve the prompt.
type Candidate struct {
	ID        viewer.ServerID
	Engine    *predictor.Engine
	Load      loadtracker.Load
	Slowdown  float64 // pass time relative to normal; 0 means 1
	EntryRank float64 // 0 to 1; see EntryRank
	NoHelper  bool    // it must not prefill parts of prompts of others
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

// Parameters of the cost model. Costs and values are in units of the smallest answer.
const (
	// minPartTokens is the smallest part of a prompt to send to a helper. For a
	// smaller one a pass costs more than the prefill.
	minPartTokens = 4_096
	// riskCenter and riskWidth are the parameters of the logistic function that
	// estimates the probability of exceeding a limit. Of the predictions at 0.95
	// of a limit half are late, at 0.8 of it one in ten.
	riskCenter, riskWidth = 0.95, 0.06
	// openingCost is the cost of placing a request with a tight pause limit on an
	// engine that decodes no such request, since the engine then can't prefill long
	// prompts until such requests end. It is in values of the answers of least value.
	openingCost = 0.35 / 1.5
	// latencyWeight weights the expected time to the first event, so that of two
	// plans that meet the target the faster one is preferred.
	latencyWeight = 0.08
	// overtakeWeight weights the delay of requests whose prefill is overtaken, since
	// each of them is overtaken more than once.
	overtakeWeight = 2
	// burstFactor is how much faster than at the mean rate slots are taken at the start
	// of a burst. It estimates the slots that other entries take before this entry
	// learns of it.
	burstFactor = 2
	// rankCost is the largest difference in cost between equal engines due to
	// EntryRank, in values of the answers of least value. It is about that of one, so
	// that each entry fills its own preferred engines first, and uses those of others
	// before its prompts are late.
	rankCost = 4.0 / 3
	// Engines become scarce as the share of time that they prefill rises from scarceFrom
	// to scarceTo. Above the latter too little is left for decoding.
	scarceFrom, scarceTo = 0.3, 0.8
	// memoryShare is the share of an engine's memory that may be allocated, and
	// decoderShare the share of that which a split prompt uses on the engine that
	// decodes.
	memoryShare, decoderShare = 0.95, 0.8
)

// unknown are the parameters without kinds.
var unknown = &profiler.Parameters{LeastValue: 1}

// complete fills in what the prompt lacks.
func (p Prompt) complete() Prompt {
	if p.Terms == nil {
		p.Terms = unknown
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
	helpers := 0
	engines := make([]engine, len(all))
	for i := range all {
		engines[i] = newEngine(p, &all[i])
		if !all[i].NoHelper {
			helpers++
		}
	}
	scored := make([]score, 0, len(all))
	most := min(len(all), max(1, helpers), MaxHelpers+1, max(1, p.Tokens/minPartTokens))
	for _, parts := range partCounts {
		if parts > most || parts > 1 && !p.enabled(Helpers) {
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
	scarcity := min(1, max(0, (p.PrefillLoad-scarceFrom)/(scarceTo-scarceFrom)))
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
