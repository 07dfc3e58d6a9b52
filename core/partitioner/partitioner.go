package partitioner

import "github.com/cespare/xxhash/v2"

// Bounds of a cell. Up to maxEntries entries can exchange their load in time;
// this has been seen with 31 of them. minEngines engines have memory for several
// of the largest prompts and their helpers.
const (
	maxEntries = 48
	minEngines = 96
)

// Count returns the number of cells for the given numbers of entries and engines,
// at least one.
func Count(entries, engines int) int {
	cells := 1
	for entries > maxEntries*cells && engines >= 2*minEngines*cells {
		cells *= 2
	}
	return cells
}

// SameCell reports whether two names belong to the same cell, if there are the
// given number of cells.
func SameCell(a, b string, cells int) bool {
	return cells <= 1 || Cell(a, cells) == Cell(b, cells)
}

// Cell returns the cell of a name, from 0 to cells - 1.
func Cell(name string, cells int) int { return int(xxhash.Sum64String(name) % uint64(max(1, cells))) }
