package partitioner

import "github.com/cespare/xxhash/v2"

// Bounds of a cell. What an entry spends on the datagrams of its cell grows with the
// number of entries: up to maxEntries, it leaves room for its callers on the smallest
// VMs. minEngines engines have room for two of the largest prompts at a time, each of
// which takes the time and the memory of an engine and its helpers.
const (
	maxEntries = 48
	maxHelpers = 16
	minEngines = 2 * (1 + maxHelpers)
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
