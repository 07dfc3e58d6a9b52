package partitioner

import "github.com/cespare/xxhash/v2"

// Bounds of a cell. That many entries tell each other of their work in time, as
// measured with 31; that many engines hold the largest prompt and its helpers
// several times.
const (
	mostEntries  = 48
	leastEngines = 96
)

// Count returns the number of cells for some entries and engines, at least one.
func Count(entries, engines int) int {
	cells := 1
	for entries > mostEntries*cells && engines >= 2*leastEngines*cells {
		cells *= 2
	}
	return cells
}

// SameCell reports whether two names belong to one of the cells.
func SameCell(a, b string, cells int) bool {
	return cells <= 1 || of(a, cells) == of(b, cells)
}

func of(name string, cells int) uint64 { return xxhash.Sum64String(name) % uint64(cells) }
