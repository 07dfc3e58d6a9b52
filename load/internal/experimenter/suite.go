package experimenter

import (
	"slices"
	"time"
)

// Names of the experiments of a Suite.
const (
	Policies  = "policies"
	OnePart   = "parts"
	Herding   = "herd"
	Admission = "admission"
	Fairness  = "fairness"
)

// Suite is the set of experiments behind the page of measurements.
type Suite struct {
	Seeds   []uint64      // the first one gives the tables
	Length  time.Duration // of the arrivals, 5 min if zero
	Workers int           // runs at once, half the processors if zero
}

// impatient is the part of the usual timeouts in the experiment on admission.
const impatient = 0.4

// plans returns the runs of a suite.
func (s Suite) plans() []Plan {
	first := s.Seeds[0]
	plans := []Plan{
		{Name: Policies, Policies: append(slices.Clone(Baselines), Full, AllKnowing), Engines: []int{14, 20}, Loads: []float64{0.5, 0.8, 0.95, 1, 1.2}, Seed: first, Calm: true},
		{Name: OnePart, Policies: append([]Policy{Full}, Parts...), Engines: []int{20}, Loads: []float64{0.8, 1.2}, Seed: first, Calm: true},
		{
			Name: Admission, Policies: []Policy{LeastConns, Full, NoAdmission}, Engines: []int{20}, Loads: []float64{0.8, 1, 1.2, 1.5},
			Seed: first, Patience: impatient,
		},
	}
	for _, lag := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		plans = append(plans, Plan{
			Name: Herding, Policies: []Policy{ShortestQueue, Herd, NoChoices, NoOwn, Full}, Engines: []int{20}, Loads: []float64{0.8},
			Seed: first, Setup: Setup{Lag: lag, NoRide: true},
		})
	}
	for i, seed := range s.Seeds {
		if i > 0 {
			plans = append(plans, Plan{
				Name: Policies, Policies: []Policy{LeastConns, Full, AllKnowing}, Engines: []int{14, 20}, Loads: []float64{0.5, 0.8, 1, 1.2}, Seed: seed, Calm: true,
			})
		}
		for _, surge := range []float64{1, 10} {
			for _, fair := range []bool{false, true} {
				plans = append(plans, Plan{
					Name: Fairness, Policies: []Policy{Full}, Engines: []int{20}, Loads: []float64{0.6}, Seed: seed, Surge: surge, Setup: Setup{Fair: fair},
				})
			}
		}
	}
	for i := range plans {
		plans[i].Length, plans[i].Workers = s.Length, s.Workers
	}
	return plans
}

// Run does the suite and calls done with each row. It panics without a seed.
func (s Suite) Run(done func(Row)) {
	if len(s.Seeds) == 0 {
		panic("experimenter: no seeds")
	}
	for _, p := range s.plans() {
		p.Run(done)
	}
}

// Target is one aim and what was measured, for each seed.
type Target struct {
	Name   string
	Wanted string
	Seen   []float64
	Met    func(float64) bool
}

// Missed returns how many of the values seen miss the aim.
func (t Target) Missed() int {
	n := 0
	for _, x := range t.Seen {
		if !t.Met(x) {
			n++
		}
	}
	return n
}

func atMost(most float64) func(float64) bool   { return func(x float64) bool { return x <= most } }
func atLeast(least float64) func(float64) bool { return func(x float64) bool { return x >= least } }

// Targets compares the rows of a suite with the aims.
func (s Suite) Targets(rows []Row) []Target {
	find := func(name string, policy Policy, engines int, load float64, seed uint64) *Result {
		for _, r := range rows {
			if r.Name == name && r.Result.Setup.Policy == policy && r.Result.Setup.Engines == engines && r.Load == load && r.Seed == seed {
				return r.Result
			}
		}
		return newResult(Setup{})
	}
	slowdown := func(engines int, seed uint64) float64 {
		i := slices.IndexFunc(rows, func(r Row) bool {
			return r.Name == Policies && r.Result.Setup.Policy == Full && r.Result.Setup.Engines == engines && r.Load == 0.8 && r.Seed == seed
		})
		return rows[i].Slowdown()
	}
	fair := func(surge float64, on bool, seed uint64) float64 {
		i := slices.IndexFunc(rows, func(r Row) bool {
			return r.Name == Fairness && r.Surge == surge && r.Result.Setup.Fair == on && r.Seed == seed
		})
		return rows[i].Result.Others.P95.Seconds()
	}
	var slow, better, stretch50, stretch95, goodput, hits, others []float64
	for _, seed := range s.Seeds {
		for _, n := range []int{14, 20} {
			get := func(policy Policy, load float64) *Result { return find(Policies, policy, n, load, seed) }
			slow = append(slow, slowdown(n, seed))
			better = append(better, Ratio(get(LeastConns, 0.8).First[Short].P95.Seconds(), get(Full, 0.8).First[Short].P95.Seconds()))
			stretch50 = append(stretch50, get(Full, 0.5).Stretch.P50.Seconds())
			stretch95 = append(stretch95, get(Full, 0.5).Stretch.P95.Seconds())
			goodput = append(goodput, Ratio(get(Full, 1.2).Work, get(Full, 1).Work))
			hits = append(hits, Ratio(get(Full, 0.8).Hit, get(AllKnowing, 0.8).Hit))
		}
		others = append(others, Ratio(fair(10, true, seed), fair(1, true, seed)))
	}
	return []Target{
		{Name: "slowdown of short prompts at 0.8", Wanted: "at most 1.25", Seen: slow, Met: atMost(1.25)},
		{Name: "short p95 against least connections at 0.8", Wanted: "at least 3 times better", Seen: better, Met: atLeast(3)},
		{Name: "long prompts against an empty fleet at 0.5, median", Wanted: "at most 1.5", Seen: stretch50, Met: atMost(1.5)},
		{Name: "long prompts against an empty fleet at 0.5, p95", Wanted: "at most 1.5", Seen: stretch95, Met: atMost(1.5)},
		{Name: "goodput at 1.2 against 1.0", Wanted: "at least 0.95", Seen: goodput, Met: atLeast(0.95)},
		{Name: "prefix hits against an all-knowing router at 0.8", Wanted: "at least 0.90", Seen: hits, Met: atLeast(0.9)},
		{Name: "others' short p95 beside a tenfold account, against calm", Wanted: "at most 1.25", Seen: others, Met: atMost(1.25)},
	}
}
