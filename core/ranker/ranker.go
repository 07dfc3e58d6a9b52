// Package ranker orders candidates for a key by rendezvous hashing. Processes
// that know the same candidates compute the same order without communication.
// If a candidate is added or removed, only its own keys are reassigned.
//
// # Usage
//
//	top := ranker.Top("engine3", entries, 4)
//	mine := ranker.InTop("engine3", entries, self, 2)
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

// Weight returns the weight of a candidate for a key, from the hashes of both.
// Candidates are ordered by increasing weight.
func Weight(key, candidate uint64) uint64 {
	high, low := bits.Mul64(key^0x9e3779b97f4a7c15, candidate^bits.RotateLeft64(key, 32)|1)
	return high ^ low
}

// candidateWeight returns the weight of a candidate for a key.
func candidateWeight(key uint64, candidate string) uint64 {
	return Weight(key, xxhash.Sum64String(candidate))
}

// Top returns the n candidates with the lowest weights for a key, in increasing
// order of weight, or all of them if there are fewer. It does not change
// candidates.
func Top(key string, candidates []string, n int) []string {
	k := xxhash.Sum64String(key)
	all := make([]ranked, len(candidates))
	for i, c := range candidates {
		all[i] = ranked{candidateWeight(k, c), c}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	top := make([]string, min(n, len(all)))
	for i := range top {
		top[i] = all[i].name
	}
	return top
}

type ranked struct {
	weight uint64
	name   string
}

// InTop reports whether a candidate is one of the n with the lowest weights for
// a key. It takes time linear in the number of candidates and does not allocate.
func InTop(key string, candidates []string, candidate string, n int) bool {
	k := xxhash.Sum64String(key)
	weight := candidateWeight(k, candidate)
	lower := 0
	for _, c := range candidates {
		w := candidateWeight(k, c)
		if w < weight || w == weight && c < candidate {
			lower++
		}
	}
	return lower < n
}
