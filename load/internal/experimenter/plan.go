package experimenter

import (
	"runtime"
	"sync"
	"time"
)

// Plan describes a set of runs.
type Plan struct {
	Name     string
	Policies []Policy
	Engines  []int
	Loads    []float64
	Seed     uint64
	Length   time.Duration // of the arrivals, 5 min if zero
	Patience float64       // of the callers, see Mix
	Surge    float64       // of the large account, see Mix; only what arrives in it counts
	Calm     bool          // run each trace without long prompts too
	Setup    Setup         // the rest of every run
	Workers  int           // runs at once, half the processors if zero
}

// defaultLength is the length of the arrivals.
const defaultLength = 5 * time.Minute

// Run does the runs and calls done with each row, in the order of the plan.
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
	mix := Mix{Seed: p.Seed, Engines: engines, Load: load, Length: p.Length, Patience: p.Patience, Surge: p.Surge}
	setup := p.Setup
	setup.Policy, setup.Engines, setup.Seed = policy, engines, p.Seed
	if p.Surge > 0 {
		setup.Warmup = p.Length / 2
	}
	row := Row{Name: p.Name, Load: load, Seed: p.Seed, Surge: p.Surge, Result: Run(setup, Generate(mix))}
	if p.Calm {
		mix.NoLongs = true
		row.Calm = Run(setup, Generate(mix))
	}
	return row
}

// Row is one result with what it was run on.
type Row struct {
	Name   string // of the experiment
	Load   float64
	Seed   uint64
	Surge  float64
	Result *Result
	Calm   *Result // the same trace without long prompts, if it was run
}

// Slowdown returns how much longer the first token of short prompts takes at
// p95 than without long prompts, or 0 if that was not run.
func (r Row) Slowdown() float64 {
	if r.Calm == nil {
		return 0
	}
	return Ratio(r.Result.First[Short].P95.Seconds(), r.Calm.First[Short].P95.Seconds())
}
