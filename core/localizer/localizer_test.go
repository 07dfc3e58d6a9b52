package localizer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"bamboohill/core/localizer"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestRemote(t *testing.T) {
	tests := map[string]struct {
		own, server viewer.Domain
		want        bool
	}{
		"the same":         {"a", "a", false},
		"another":          {"a", "b", true},
		"own unknown":      {"", "b", false},
		"server's unknown": {"a", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(localizer.Remote(test.own, test.server), test.want) })
	}
}

// TestRank checks, over drawn ranks, that servers of the own domain come first, that the
// order is else kept, that ranks stay evenly distributed, and that nothing changes if all
// servers or none are remote.
func TestRank(t *testing.T) {
	const n = 3_000
	random := rand.New(rand.NewPCG(1, 1))
	for _, domains := range []int{1, 2, 3} {
		is := is.New(t)
		ranks, ordered := make([]float64, n), make([]float64, n)
		remote := func(i int) bool { return i%domains != 0 }
		share := localizer.Share(n, remote)
		for i := range ranks {
			ranks[i] = random.Float64()
			ordered[i] = localizer.Rank(ranks[i], remote(i), share, 1)
			is.Equal(localizer.Rank(ranks[i], true, 0, 1), ranks[i])
			is.Equal(localizer.Rank(ranks[i], false, 1, 1), ranks[i])
			is.Equal(localizer.Rank(ranks[i], remote(i), share, 0), ranks[i])
			is.Equal(ordered[i] < share || domains == 1, !remote(i))
			if j := i - domains; j >= 0 {
				is.Equal(ranks[i] < ranks[j], ordered[i] < ordered[j])
			}
		}
		slices.Sort(ordered)
		for i, rank := range ordered {
			is.True(rank > float64(i)/n-0.05 && rank < float64(i)/n+0.05)
		}
	}
	is.New(t).Equal(localizer.Rank(1, false, 0.3, 1), 1.0) // a server that comes last for another reason
}

func TestWeight(t *testing.T) {
	tests := map[string]struct{ own, all, want float64 }{
		"as much to spare":    {own: 0.5, all: 0.5, want: 1},
		"more":                {own: 0.9, all: 0.5, want: 1},
		"three quarters":      {own: 0.3, all: 0.4, want: 0.5},
		"half":                {own: 0.2, all: 0.4, want: 0},
		"own domain is full":  {own: 0, all: 0.4, want: 0},
		"all domains are too": {own: 0, all: 0, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := localizer.Weight(test.own, test.all)
			is.New(t).True(got > test.want-1e-9 && got < test.want+1e-9)
		})
	}
}
