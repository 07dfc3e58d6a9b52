package experimenter

import (
	"slices"
	"time"

	"bamboohill/core/identifier"
)

// tally is what became of one request.
type tally struct {
	*Request
	limited bool // over its account's share
	refused bool
	first   time.Duration
	whole   time.Duration
	hit     int64
	best    int64 // tokens that some engine held when it was placed
}

// Times holds quantiles of a duration.
type Times struct {
	P50, P95, P99 time.Duration
}

// Result is what a run measured. Requests that arrived before Warmup do not
// count.
type Result struct {
	Setup    Setup
	Sent     int
	InTime   int // finished before the deadline
	Late     int // taken, and not finished in time
	Refused  int
	Limited  int
	First    map[Class]Times // a request that missed its first token counts with its timeout
	Count    map[Class]int
	Good     map[Class]float64 // part of the requests sent that finished in time
	Hit      float64           // cached part of the prompt tokens placed
	Found    float64           // of what some engine held, the part that was used
	Wasted   float64           // part of the prefill done for requests that missed their deadline
	Busy     float64           // part of the time that engines spent on prefill
	Stretch  Times             // first token of long prompts as a multiple of an empty fleet's; 1 s stands for 1
	Work     float64           // work finished in time, of what the fleet can do
	Worst    float64           // smallest part of an account's requests that finished in time
	Jain     float64           // Jain's index of the accounts' parts of work finished in time
	OthersIn float64           // part of the requests of all accounts but Large that finished in time
	Others   Times             // first token of short prompts of all accounts but Large

	tallies []*tally
}

func newResult(setup Setup) *Result {
	return &Result{Setup: setup, First: map[Class]Times{}, Count: map[Class]int{}, Good: map[Class]float64{}}
}

func (r *Result) arrived(q *Request) *tally {
	t := &tally{Request: q}
	if q.At >= r.Setup.Warmup {
		r.tallies = append(r.tallies, t)
	}
	return t
}

// placed notes the most that any engine held of a prompt.
func (r *Result) placed(j *job, f *fleet) {
	if j.Shared == 0 {
		return
	}
	for _, e := range f.engines {
		j.tally.best = max(j.tally.best, e.holds(j.Request))
	}
}

func (r *Result) finish(f *fleet) {
	firsts := map[Class][]time.Duration{}
	good := map[Class]int{}
	var prompt, hit, best int64
	var others, stretch []time.Duration
	var rest, restIn float64
	for _, t := range r.tallies {
		r.count(t)
		if t.Account != Large {
			rest++
			if t.whole > 0 {
				restIn++
			}
		}
		r.Count[t.Class]++
		if t.limited || t.refused {
			continue
		}
		if t.whole > 0 {
			good[t.Class]++
			r.Work += t.Work(0)
		}
		prompt += t.Prompt
		hit += t.hit
		best += t.best
		first := t.first
		if first == 0 {
			first = t.Timeout
		}
		firsts[t.Class] = append(firsts[t.Class], first)
		if t.Class == Long {
			stretch = append(stretch, time.Duration(first.Seconds()/(float64(t.Prompt)/speed)*float64(time.Second)))
		}
		if t.Class == Short && t.Account != Large {
			others = append(others, first)
		}
	}
	for _, c := range Classes {
		r.First[c] = times(firsts[c])
		r.Good[c] = Ratio(float64(good[c]), float64(r.Count[c]))
	}
	r.Others = times(others)
	r.OthersIn = Ratio(restIn, rest)
	r.Stretch = times(stretch)
	r.Hit = Ratio(float64(hit), float64(prompt))
	r.Found = Ratio(float64(hit), float64(best))
	r.waste(f)
	r.fairness()
}

func (r *Result) count(t *tally) {
	r.Sent++
	switch {
	case t.limited:
		r.Limited++
	case t.refused:
		r.Refused++
	case t.whole > 0:
		r.InTime++
	default:
		r.Late++
	}
}

// usage returns what notes how busy the engines were up to now.
func (r *Result) usage(f *fleet) func() {
	return func() {
		var done float64
		for _, e := range f.engines {
			done += float64(e.prefilled)
		}
		r.Busy = Ratio(done/speed, f.now.Seconds()*float64(len(f.engines)))
	}
}

// waste compares the prefill done in vain with all that was done.
func (r *Result) waste(f *fleet) {
	var wasted, done float64
	for _, e := range f.engines {
		wasted += float64(e.wasted)
		done += float64(e.prefilled)
	}
	r.Wasted = Ratio(wasted, done)
	r.Work = Ratio(r.Work, (f.arrivals-r.Setup.Warmup).Seconds()*float64(len(f.engines)))
}

// fairness compares the accounts by the part of their work that was done.
func (r *Result) fairness() {
	sent, in := map[identifier.Account]float64{}, map[identifier.Account]float64{}
	for _, t := range r.tallies {
		sent[t.Account] += t.Work(0)
		if t.whole > 0 {
			in[t.Account] += t.Work(0)
		}
	}
	var sum, squares float64
	r.Worst = 1
	for a, all := range sent {
		x := Ratio(in[a], all)
		r.Worst = min(r.Worst, x)
		sum += x
		squares += x * x
	}
	r.Jain = Ratio(sum*sum, squares*float64(len(sent)))
}

// Ratio returns a over b, or 0 if b is 0.
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
