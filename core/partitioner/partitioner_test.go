package partitioner_test

import (
	"fmt"
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
		"few engines":        {300, 150, 1},
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
