package partitioner_test

import (
	"fmt"
	"slices"
	"testing"

	"bamboohill/core/partitioner"

	"github.com/matryer/is"
)

func TestCount(t *testing.T) {
	tests := map[string]struct{ entries, engines, want int }{
		"nobody":             {0, 0, 1},
		"a small deployment": {4, 21, 1},
		"a large deployment": {31, 69, 1},
		"100 entries":        {100, 1_000, 4},
		"300 entries":        {300, 3_000, 8},
		"few engines":        {300, 60, 1},
		"half a cell each":   {300, 150, 4},
		"about as many":      {103, 112, 2},
		"a domain is lost":   {103, 90, 2},
		"48 entries":         {48, 3_000, 1},
		"340 entries":        {340, 12_000, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(partitioner.Count(test.entries, test.engines), test.want)
		})
	}
}

// TestSameCell checks that cells have about equal sizes, and that each of 8 cells
// lies within one of 4 cells.
func TestSameCell(t *testing.T) {
	is := is.New(t)
	const names, cells = 3_000, 8
	for n := range 20 {
		self, count := fmt.Sprint("entry-", n), 0
		for i := range names {
			name := fmt.Sprint("i-", i)
			if !partitioner.SameCell(self, name, cells) {
				continue
			}
			count++
			is.True(partitioner.SameCell(self, name, cells/2))
			is.True(partitioner.SameCell(self, name, 1))
		}
		is.True(count > names/cells*8/10 && count < names/cells*12/10)
	}
}

// cellLoads returns the load of the engines of each cell relative to that of all, if every
// entry has as many callers.
func cellLoads(draw, entries, engines int) []float64 {
	cells := partitioner.Count(entries, engines)
	var members []string // one name of each cell
	for n := 0; len(members) < cells; n++ {
		name := fmt.Sprint("member-", n)
		if !slices.ContainsFunc(members, func(m string) bool { return partitioner.SameCell(m, name, cells) }) {
			members = append(members, name)
		}
	}
	loads := make([]float64, cells)
	for i, member := range members {
		callers, servers := 0, 0
		for n := range entries {
			if partitioner.SameCell(member, fmt.Sprintf("10.%d.%d.%d:1", draw, n/250, n%250), cells) {
				callers++
			}
		}
		for n := range engines {
			if partitioner.SameCell(member, fmt.Sprint("i-", draw, "-", n), cells) {
				servers++
			}
		}
		loads[i] = float64(callers*engines) / float64(entries*servers)
	}
	return loads
}

// TestCellLoads checks that the loads of cells differ by no more than with names drawn at
// random: docs/CAPACITY.md derives from it what uneven cells cost.
func TestCellLoads(t *testing.T) {
	const draws = 20
	for _, entries := range []int{98, 300} {
		lowest, highest, variance := 0.0, 0.0, 0.0
		for draw := range draws {
			loads := cellLoads(draw, entries, 10*entries)
			lowest += slices.Min(loads) / draws
			highest += slices.Max(loads) / draws
			for _, l := range loads {
				variance += (l - 1) * (l - 1) / float64(len(loads)) / draws
			}
		}
		t.Logf("%d entries, %d cells: mean of the lowest load %.2f, of the highest %.2f, variance %.4f", entries, partitioner.Count(entries, 10*entries), lowest, highest, variance)
		cells := float64(partitioner.Count(entries, 10*entries))
		atRandom := cells/float64(entries) + cells/float64(10*entries) // by the means of a cell
		is.New(t).True(variance < 1.5*atRandom)
	}
}
