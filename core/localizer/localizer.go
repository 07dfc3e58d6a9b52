// Package localizer prefers backend servers in an entry's own failure domain. It is
// designed for callers who reach entries in their own failure domain, with traffic that
// rises in one domain after the other: while the servers of a domain have room, its work
// stays there, and what they have no room for goes to those of the other domains.
//
// Nothing is preferred if the entry does not know its domain, or if all servers or none of
// them are in it. The functions have no side effects.
//
// # Usage
//
//	share := localizer.Share(len(all), func(i int) bool { return all[i].Remote })
//	rank := localizer.Rank(all[i].EntryRank, all[i].Remote, share, localizer.Weight(spareOwn, spareAll))
package localizer

import "bamboohill/core/viewer"

// Remote reports whether a backend server is known to be in another failure domain than
// the entry. An empty domain is unknown.
func Remote(own, server viewer.Domain) bool { return own != "" && server != "" && own != server }

// Share returns the share of n servers that are not remote, from 0 to 1; 1 if n is 0.
func Share(n int, remote func(i int) bool) float64 {
	if n == 0 {
		return 1
	}
	near := 0
	for i := range n {
		if !remote(i) {
			near++
		}
	}
	return float64(near) / float64(n)
}

// Weight returns how much the own domain is preferred, from 0 to 1, by the mean spare
// capacity of its servers and of all: entirely while its servers have as much to spare as
// all have, and not at all once they have half of it.
func Weight(own, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return min(1, max(0, 2*own/all-1))
}

// Rank returns the rank of a server, from 0 to 1, in an order in which those that are not
// remote come first and that else keeps the order of rank. It spreads ranks that are
// evenly distributed as evenly as before, so that neighbors in the order differ as much:
// share is the share of the servers that are not remote. A rank of 1 stays the last one.
// With a weight below 1 the order is that of rank in part, and entirely with 0.
func Rank(rank float64, remote bool, share, weight float64) float64 {
	switch {
	case rank >= 1 || share <= 0 || share >= 1:
		return rank
	case remote:
		return rank + weight*share*(1-rank)
	}
	return rank - weight*(1-share)*rank
}
