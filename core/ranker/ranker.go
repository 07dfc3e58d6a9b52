// Package ranker orders candidates for a key by rendezvous hashing: every
// process that knows the same candidates finds the same order without asking,
// and a candidate that comes or goes moves only its own keys.
//
// # Usage
//
//	first := ranker.First("engine3", entries, 4)
//	mine := ranker.Among("engine3", entries, self, 2)
//
// See D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package ranker

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight is the rank of a candidate for a key, lowest first, from the hashes
// of both.
func Weight(key, candidate uint64) uint64 {
	high, low := bits.Mul64(key^0x9e3779b97f4a7c15, candidate^bits.RotateLeft64(key, 32)|1)
	return high ^ low
}

// weigh returns the weight of a candidate for a key.
func weigh(key uint64, candidate string) uint64 { return Weight(key, xxhash.Sum64String(candidate)) }

// Top returns the first n candidates for a key, in order of rank. It leaves
// candidates as they are.
func Top(key string, candidates []string, n int) []string {
	k := xxhash.Sum64String(key)
	all := make([]ranked, len(candidates))
	for i, c := range candidates {
		all[i] = ranked{weigh(k, c), c}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	first := make([]string, min(n, len(all)))
	for i := range first {
		first[i] = all[i].name
	}
	return first
}

type ranked struct {
	weight uint64
	name   string
}

// InTop reports whether a candidate is among the first n for a key. It takes
// time linear in the number of candidates and allocates nothing.
func InTop(key string, candidates []string, candidate string, n int) bool {
	k := xxhash.Sum64String(key)
	own := weigh(k, candidate)
	before := 0
	for _, c := range candidates {
		w := weigh(k, c)
		if w < own || w == own && c < candidate {
			before++
		}
	}
	return before < n
}
