// Package partitioner assigns entries and engines to cells, so that an entry
// exchanges load information only with the entries of its own cell. If every
// entry sent its load to all others, the traffic would grow with the square of
// the number of entries, and updates would be increasingly delayed.
//
// The cell of an entry or engine is a hash of its name. Cells therefore need no
// coordination, and an entry that is added or removed does not move others. The
// number of cells is a power of two that depends on the numbers of entries and
// engines. While two entries disagree on these numbers, each cell of the one
// with more cells lies within a cell of the other.
//
// # Usage
//
//	cells := partitioner.Count(entries, engines)
//	if partitioner.SameCell(entry, string(server.ID), cells) { ... }
package partitioner
