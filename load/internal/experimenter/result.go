package experimenter

import (
	"slices"
	"time"

	"bamboohill/core/identifier"
)

// outcome is the result of one request.
type outcome struct {
	*Request
	limited      bool // refused by its account's limit
	refused      bool
	firstToken   time.Duration
	lastToken    time.Duration
	cachedTokens int64
	bestCached   int64 // most prompt tokens that any engine had cached at placement
}

// Times holds percentiles of a duration.
type Times struct {
	P50, P95, P99 time.Duration
}

// Result holds the measurements of a run. Requests that arrived before
// Setup.Warmup are not counted. Shares and rates range from 0 to 1.
type Result struct {
	Setup              Setup
	Sent               int
	InTime             int             // completed before the deadline
	Late               int             // accepted, but not completed in time
	Refused            int             // no server accepted the request
	Limited            int             // refused by the limit of the account
	FirstToken         map[Class]Times // time to first token; a request without one counts with its timeout
	Count              map[Class]int
	InTimeShare        map[Class]float64 // share of the requests sent that completed in time
	HitRate            float64           // share of placed prompt tokens that was cached on the chosen engine
	ReuseRate          float64           // cached tokens on the chosen engine relative to the most on any engine
	WastedPrefill      float64           // share of prefill work done for requests that missed their deadline
	PrefillUtilization float64           // share of engine time spent on prefill
	LongSlowdown       Times             // first-token time of long prompts as a multiple of the prefill time on an idle engine; 1 s represents a factor of 1
	Goodput            float64           // engine time of the requests completed in time, relative to capacity
	MinAccountShare    float64           // smallest share of an account's work that completed in time
	JainIndex          float64           // Jain's fairness index of the accounts' shares of work completed in time
	OthersInTime       float64           // share of requests completed in time, over all accounts but LargestAccount
	OthersFirstToken   Times             // first-token time of short prompts of all accounts but LargestAccount

	outcomes []*outcome
}

func newResult(setup Setup) *Result {
	return &Result{Setup: setup, FirstToken: map[Class]Times{}, Count: map[Class]int{}, InTimeShare: map[Class]float64{}}
}

func (r *Result) addRequest(q *Request) *outcome {
	t := &outcome{Request: q}
	if q.Arrival >= r.Setup.Warmup {
		r.outcomes = append(r.outcomes, t)
	}
	return t
}

// recordBestCached records the most prompt tokens that any engine has cached.
func (r *Result) recordBestCached(j *job, f *fleet) {
	if j.Shared == 0 {
		return
	}
	for _, e := range f.engines {
		j.outcome.bestCached = max(j.outcome.bestCached, e.cachedTokens(j.Request))
	}
}

func (r *Result) finish(f *fleet) {
	firsts := map[Class][]time.Duration{}
	good := map[Class]int{}
	var prompt, hit, best int64
	var othersFirst, longSlowdowns []time.Duration
	var otherRequests, othersInTime float64
	for _, t := range r.outcomes {
		r.count(t)
		if t.Account != LargestAccount {
			otherRequests++
			if t.lastToken > 0 {
				othersInTime++
			}
		}
		r.Count[t.Class]++
		if t.limited || t.refused {
			continue
		}
		if t.lastToken > 0 {
			good[t.Class]++
			r.Goodput += t.EngineSeconds(0)
		}
		prompt += t.Prompt
		hit += t.cachedTokens
		best += t.bestCached
		first := t.firstToken
		if first == 0 {
			first = t.Timeout
		}
		firsts[t.Class] = append(firsts[t.Class], first)
		if t.Class == Long {
			longSlowdowns = append(longSlowdowns, time.Duration(first.Seconds()/(float64(t.Prompt)/prefillRate)*float64(time.Second)))
		}
		if t.Class == Short && t.Account != LargestAccount {
			othersFirst = append(othersFirst, first)
		}
	}
	for _, c := range Classes {
		r.FirstToken[c] = times(firsts[c])
		r.InTimeShare[c] = Ratio(float64(good[c]), float64(r.Count[c]))
	}
	r.OthersFirstToken = times(othersFirst)
	r.OthersInTime = Ratio(othersInTime, otherRequests)
	r.LongSlowdown = times(longSlowdowns)
	r.HitRate = Ratio(float64(hit), float64(prompt))
	r.ReuseRate = Ratio(float64(hit), float64(best))
	r.computeWaste(f)
	r.computeFairness()
}

func (r *Result) count(t *outcome) {
	r.Sent++
	switch {
	case t.limited:
		r.Limited++
	case t.refused:
		r.Refused++
	case t.lastToken > 0:
		r.InTime++
	default:
		r.Late++
	}
}

// recordUtilization returns a function that records the prefill utilization so far.
func (r *Result) recordUtilization(f *fleet) func() {
	return func() {
		var done float64
		for _, e := range f.engines {
			done += float64(e.prefilled)
		}
		r.PrefillUtilization = Ratio(done/prefillRate, f.now.Seconds()*float64(len(f.engines)))
	}
}

// computeWaste computes the share of wasted prefill, and relates goodput to capacity.
func (r *Result) computeWaste(f *fleet) {
	var wasted, done float64
	for _, e := range f.engines {
		wasted += float64(e.wastedPrefill)
		done += float64(e.prefilled)
	}
	r.WastedPrefill = Ratio(wasted, done)
	r.Goodput = Ratio(r.Goodput, (f.lastArrival-r.Setup.Warmup).Seconds()*float64(len(f.engines)))
}

// computeFairness compares the accounts by the share of their work that completed in time.
func (r *Result) computeFairness() {
	sent, in := map[identifier.Account]float64{}, map[identifier.Account]float64{}
	for _, t := range r.outcomes {
		sent[t.Account] += t.EngineSeconds(0)
		if t.lastToken > 0 {
			in[t.Account] += t.EngineSeconds(0)
		}
	}
	var sum, squares float64
	r.MinAccountShare = 1
	for a, all := range sent {
		x := Ratio(in[a], all)
		r.MinAccountShare = min(r.MinAccountShare, x)
		sum += x
		squares += x * x
	}
	r.JainIndex = Ratio(sum*sum, squares*float64(len(sent)))
}

// Ratio returns a/b, or 0 if b is 0.
func Ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func times(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[min(int(q*float64(len(list))), len(list)-1)] }
	return Times{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}
