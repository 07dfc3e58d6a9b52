package experimenter

import (
	"slices"
	"time"
)

// Names of the experiments of a Suite.
const (
	Policies  = "policies"
	Ablation  = "parts"
	Herding   = "herd"
	Admission = "admission"
	Fairness  = "fairness"
)

// Suite is the set of experiments reported on the measurements page.
type Suite struct {
	Seeds   []uint64      // the tables show the results of the first one
	Length  time.Duration // duration of the arrivals, 5 min if zero
	Workers int           // concurrent runs, half the processors if zero
}

// shortTimeoutFactor scales the timeouts in the admission experiment.
const shortTimeoutFactor = 0.4

// plans returns the runs of a suite.
func (s Suite) plans() []Plan {
	first := s.Seeds[0]
	plans := []Plan{
		{Name: Policies, Policies: append(slices.Clone(Baselines), Full, TrueCacheState), Engines: []int{14, 20}, Loads: []float64{0.5, 0.8, 0.95, 1, 1.2}, Seed: first, WithoutLong: true},
		{Name: Ablation, Policies: append([]Policy{Full}, Ablations...), Engines: []int{20}, Loads: []float64{0.8, 1.2}, Seed: first, WithoutLong: true},
		{
			Name: Admission, Policies: []Policy{LeastConns, Full, NoAdmission}, Engines: []int{20}, Loads: []float64{0.8, 1, 1.2, 1.5},
			Seed: first, TimeoutFactor: shortTimeoutFactor,
		},
	}
	for _, lag := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		plans = append(plans, Plan{
			Name: Herding, Policies: []Policy{ShortestQueue, AllCandidatesNoOwn, AllCandidates, NoOwnPlacements, Full}, Engines: []int{20}, Loads: []float64{0.8},
			Seed: first, Setup: Setup{ReportDelay: lag, NoPiggyback: true},
		})
	}
	for i, seed := range s.Seeds {
		if i > 0 {
			plans = append(plans, Plan{
				Name: Policies, Policies: []Policy{LeastConns, Full, TrueCacheState}, Engines: []int{14, 20}, Loads: []float64{0.5, 0.8, 1, 1.2}, Seed: seed, WithoutLong: true,
			})
		}
		for _, surge := range []float64{1, 10} {
			for _, fair := range []bool{false, true} {
				plans = append(plans, Plan{
					Name: Fairness, Policies: []Policy{Full}, Engines: []int{20}, Loads: []float64{0.6}, Seed: seed, SurgeFactor: surge, Setup: Setup{FairShare: fair},
				})
			}
		}
	}
	for i := range plans {
		plans[i].Length, plans[i].Workers = s.Length, s.Workers
	}
	return plans
}

// Run executes the suite and calls done with each row. It panics if Seeds is empty.
func (s Suite) Run(done func(Row)) {
	if len(s.Seeds) == 0 {
		panic("experimenter: no seeds")
	}
	for _, p := range s.plans() {
		p.Run(done)
	}
}

// Target is a performance goal with the measured values, one or more per seed.
type Target struct {
	Name   string
	Goal   string
	Values []float64
	Met    func(float64) bool
}

// Missed returns the number of values that miss the goal.
func (t Target) Missed() int {
	n := 0
	for _, x := range t.Values {
		if !t.Met(x) {
			n++
		}
	}
	return n
}

func atMost(most float64) func(float64) bool   { return func(x float64) bool { return x <= most } }
func atLeast(least float64) func(float64) bool { return func(x float64) bool { return x >= least } }

// Targets evaluates the rows of a suite against the goals.
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
			return r.Name == Fairness && r.SurgeFactor == surge && r.Result.Setup.FairShare == on && r.Seed == seed
		})
		return rows[i].Result.OthersFirstToken.P95.Seconds()
	}
	var shortSlowdowns, shortSpeedups, longSlowdownP50, longSlowdownP95, goodput, hits, others []float64
	for _, seed := range s.Seeds {
		for _, n := range []int{14, 20} {
			get := func(policy Policy, load float64) *Result { return find(Policies, policy, n, load, seed) }
			shortSlowdowns = append(shortSlowdowns, slowdown(n, seed))
			shortSpeedups = append(shortSpeedups, Ratio(get(LeastConns, 0.8).FirstToken[Short].P95.Seconds(), get(Full, 0.8).FirstToken[Short].P95.Seconds()))
			longSlowdownP50 = append(longSlowdownP50, get(Full, 0.5).LongSlowdown.P50.Seconds())
			longSlowdownP95 = append(longSlowdownP95, get(Full, 0.5).LongSlowdown.P95.Seconds())
			goodput = append(goodput, Ratio(get(Full, 1.2).Goodput, get(Full, 1).Goodput))
			hits = append(hits, Ratio(get(Full, 0.8).HitRate, get(TrueCacheState, 0.8).HitRate))
		}
		others = append(others, Ratio(fair(10, true, seed), fair(1, true, seed)))
	}
	return []Target{
		{Name: "slowdown of short prompts at 0.8", Goal: "at most 1.25", Values: shortSlowdowns, Met: atMost(1.25)},
		{Name: "short p95 against least connections at 0.8", Goal: "at least 3 times better", Values: shortSpeedups, Met: atLeast(3)},
		{Name: "long prompts against an empty fleet at 0.5, median", Goal: "at most 1.5", Values: longSlowdownP50, Met: atMost(1.5)},
		{Name: "long prompts against an empty fleet at 0.5, p95", Goal: "at most 1.5", Values: longSlowdownP95, Met: atMost(1.5)},
		{Name: "goodput at 1.2 against 1.0", Goal: "at least 0.95", Values: goodput, Met: atLeast(0.95)},
		{Name: "prefix hits against an all-knowing router at 0.8", Goal: "at least 0.90", Values: hits, Met: atLeast(0.9)},
		{Name: "others' short p95 beside a tenfold account, against calm", Goal: "at most 1.25", Values: others, Met: atMost(1.25)},
	}
}
