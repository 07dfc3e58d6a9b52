package replayer_test

import (
	"testing"

	"bamboohill/core/assigner"
	"bamboohill/core/profiler"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// noise is the difference in worth that the results of two runs of one policy may have.
const noise = 0.03

// worth returns the mean value share over some seeds.
func worth(c replayer.Config, runs uint64) float64 {
	sum := 0.0
	for seed := range runs {
		c.Seed = seed
		sum += replayer.Replay(c).ValueShare() / float64(runs)
	}
	return sum
}

// TestDerivedParametersServeAsFixedOnes checks that loads for which fixed parameters were in
// use are served as well with parameters derived from their configuration and traffic.
func TestDerivedParametersServeAsFixedOnes(t *testing.T) {
	tests := map[string]struct {
		load func() replayer.Load
		runs uint64
	}{
		"waves": {replayer.Waves, seeds},
		"flood": {replayer.Flood, seeds},
		"crowd": {replayer.Crowd, crowdSeeds},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			derived := worth(replayer.Config{Load: test.load(), Policy: assigner.CostBased{}}, test.runs)
			fixed := worth(replayer.Config{Load: test.load(), Policy: assigner.CostBased{}, Terms: replayer.Reference}, test.runs)
			t.Logf("worth %.3f, with fixed parameters %.3f", derived, fixed)
			is.New(t).True(derived >= fixed-noise)
		})
	}
}

// TestMixedKinds replays waves of kinds with other limits than those of the fixed
// parameters. Derived parameters must serve none of them worse, and all together better.
func TestMixedKinds(t *testing.T) {
	is := is.New(t)
	const sets, runs = 3, 4
	derived, fixed := 0.0, 0.0
	for set := uint64(1); set <= sets; set++ {
		d := worth(replayer.Config{Load: replayer.Mixed(set), Policy: assigner.CostBased{}}, runs)
		f := worth(replayer.Config{Load: replayer.Mixed(set), Policy: assigner.CostBased{}, Terms: replayer.Reference}, runs)
		t.Logf("set %d: worth %.3f, with fixed parameters %.3f", set, d, f)
		is.True(d >= f-noise)
		derived, fixed = derived+d/sets, fixed+f/sets
	}
	is.True(derived > fixed+noise)
}

// TestValuingDecidesWhoIsServed replays waves in which the smallest kind is the most
// urgent: it is served more often if the value of an answer depends on ranks.
func TestValuingDecidesWhoIsServed(t *testing.T) {
	is := is.New(t)
	served := func(v profiler.Valuing) (small, large float64) {
		l := replayer.Waves()
		l.Engines = 9 // too few
		for i := range l.Classes {
			l.Classes[i].Rank = i
		}
		for seed := range uint64(4) {
			r := replayer.Replay(replayer.Config{Load: l, Policy: assigner.CostBased{}, Valuing: v, Seed: seed})
			small += r.Classes[0].InTimeShare() / 4
			large += r.Classes[2].InTimeShare() / 4
		}
		t.Logf("valuing %d: in time %.3f of the small, %.3f of the large", v, small, large)
		return small, large
	}
	small, large := served(profiler.BySize)
	urgent, other := served(profiler.ByRank)
	served(profiler.ByKind)
	served(profiler.BySizeAndRank)
	is.True(urgent > small)
	is.True(other < large)
}
