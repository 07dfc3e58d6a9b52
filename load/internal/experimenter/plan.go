package experimenter

import (
	"runtime"
	"sync"
	"time"
)

// Plan is a set of runs: every combination of policy, number of engines and load.
type Plan struct {
	Name          string // of the experiment
	Policies      []Policy
	Engines       []int     // numbers of engines
	Loads         []float64 // see Mix
	Seed          uint64
	Length        time.Duration // duration of the arrivals, 5 min if zero
	TimeoutFactor float64       // of callers, see Mix
	SurgeFactor   float64       // of the largest account, see Mix; only requests that arrive during it are counted
	WithoutLong   bool          // also run each trace without its long prompts
	Setup         Setup         // the other parameters of every run
	Workers       int           // concurrent runs, half the processors if zero
}

// defaultLength is the default duration of the arrivals.
const defaultLength = 5 * time.Minute

// Run executes the runs and calls done with each row, in the order of the plan.
func (p Plan) Run(done func(Row)) {
	if p.Length <= 0 {
		p.Length = defaultLength
	}
	if p.Workers <= 0 {
		p.Workers = max(1, runtime.GOMAXPROCS(0)/2)
	}
	var rows []chan Row
	slots := make(chan struct{}, p.Workers)
	var all sync.WaitGroup
	for _, engines := range p.Engines {
		for _, load := range p.Loads {
			for _, policy := range p.Policies {
				row := make(chan Row, 1)
				rows = append(rows, row)
				all.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					row <- p.row(policy, engines, load)
				})
			}
		}
	}
	for _, row := range rows {
		done(<-row)
	}
	all.Wait()
}

func (p Plan) row(policy Policy, engines int, load float64) Row {
	mix := Mix{Seed: p.Seed, Engines: engines, Load: load, Length: p.Length, TimeoutFactor: p.TimeoutFactor, SurgeFactor: p.SurgeFactor}
	setup := p.Setup
	setup.Policy, setup.Engines, setup.Seed = policy, engines, p.Seed
	if p.SurgeFactor > 0 {
		setup.Warmup = p.Length / 2
	}
	row := Row{Name: p.Name, Load: load, Seed: p.Seed, SurgeFactor: p.SurgeFactor, Result: Run(setup, Generate(mix))}
	if p.WithoutLong {
		mix.WithoutLong = true
		row.WithoutLong = Run(setup, Generate(mix))
	}
	return row
}

// Row is the result of a run with its parameters.
type Row struct {
	Name        string  // of the experiment
	Load        float64 // see Mix
	Seed        uint64
	SurgeFactor float64 // see Mix
	Result      *Result
	WithoutLong *Result // result of the same trace without long prompts, nil if not run
}

// Slowdown returns the p95 first-token time of short prompts divided by that of
// the same trace without long prompts, or 0 if the latter was not run.
func (r Row) Slowdown() float64 {
	if r.WithoutLong == nil {
		return 0
	}
	return Ratio(r.Result.FirstToken[Short].P95.Seconds(), r.WithoutLong.FirstToken[Short].P95.Seconds())
}
