package replayer

import (
	"fmt"
	"time"

	"bamboohill/core/partitioner"
)

// cell holds the indexes of the entries and engines of one cell.
type cell struct{ entries, engines []int }

// Fleet returns alternating waves of short and of the largest prompts over many entries, which
// are divided into cells and announce their placements. Rates are per engine, so that each
// fleet is as busy at the same scale.
func Fleet(entries, engines, cells int, scale float64) Load {
	engine := defaultEngine()
	engine.Slots, engine.StepsPerPass = 10, 73
	l := Load{
		Engines: engines, Entries: entries, Cells: cells, Announced: true, Engine: engine,
		Classes: []Class{
			{Name: "short", Rate: 1.45, Tokens: LogNormal{Mean: 4_960, Sigma: 0.9, Max: 23_800}, Events: LogNormal{Mean: 24.3, Sigma: 0.7, Max: 60.8},
				Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 1.4, LateValue: 0.34},
			{Name: "middle", Rate: 0.154, Tokens: LogNormal{Mean: 45_000, Sigma: 0.5, Max: 110_000}, Events: LogNormal{Mean: 14.6, Sigma: 0.6, Max: 36.5},
				Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, CallerTimeout: 10 * time.Second, InTimeValue: 2.3, LateValue: 0.58},
			{Name: "large", Rate: 0.0354, Tokens: LogNormal{Mean: 300_000, Sigma: 0.55, Max: 1_000_000}, Events: LogNormal{Mean: 12.2, Sigma: 0.5, Max: 30.4},
				Target: 4 * time.Second, Gap: time.Second, CallerTimeout: 15 * time.Second, InTimeValue: 26, LateValue: 6.6},
		},
	}
	for i := range l.Classes {
		l.Classes[i].Rate *= scale * float64(engines)
	}
	return l.alternating()
}

// divide assigns entries and engines to cells. An entry of a cell without engines uses all
// engines, as entries do.
func (r *replay) divide() {
	r.cells = make([]cell, max(1, r.config.Load.Cells))
	for i := range r.config.Load.Entries {
		c := partitioner.Cell(fmt.Sprint("entry-", r.config.Seed, "-", i), len(r.cells))
		r.cellOf = append(r.cellOf, c)
		r.cells[c].entries = append(r.cells[c].entries, i)
	}
	all := make([]int, len(r.ids))
	for i := range r.ids {
		all[i] = i
		c := partitioner.Cell(fmt.Sprint("engine-", r.config.Seed, "-", i), len(r.cells))
		r.cells[c].engines = append(r.cells[c].engines, i)
	}
	for i := range r.cells {
		if len(r.cells[i].engines) == 0 {
			r.cells[i].engines = all
		}
	}
}

// peers returns the entries of an entry's cell, which it exchanges its load with.
func (r *replay) peers(entry int) []int { return r.cells[r.cellOf[entry]].entries }

// engines returns the engines of an entry's cell.
func (r *replay) engines(entry int) []int { return r.cells[r.cellOf[entry]].engines }
