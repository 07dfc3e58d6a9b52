// Package partitioner parts many entries and many engines into cells, so that an
// entry has to know of the work of its own cell alone. It answers the load
// pattern of growth: when every entry tells all others what it has under way,
// bytes grow with the square of their number, and word comes later and later.
//
// A cell is a hash of a name, so nobody has to agree on it, and an entry that
// comes or goes moves nobody else. The number of cells is a power of two that
// follows the numbers of entries and engines; where two entries count
// differently for a while, the cells of one are halves of those of the other.
//
// # Usage
//
//	cells := partitioner.Count(entries, engines)
//	if partitioner.Together(entry, string(server.ID), cells) { ... }
package partitioner
